package org.streamring.net.http;

import io.netty.handler.codec.DecoderException;

/** Cause of a failed request whose head was read from two requests. */
public final class MergedRequestException extends DecoderException {
    private static final long serialVersionUID = 1L;

    MergedRequestException(String defect) {
        super(defect);
    }
}
