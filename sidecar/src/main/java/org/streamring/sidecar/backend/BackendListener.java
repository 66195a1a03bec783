package org.streamring.sidecar.backend;

import java.util.List;
import org.streamring.kernel.receipt.Usage;
import org.streamring.net.generated.Wire.Header;

/** Told what a backend server answers, on an I/O thread. Exactly one of the last three ends the call. */
public interface BackendListener {
    /** Status and headers. */
    void begun(int status, List<Header> headers);

    /** Part of the body. */
    void chunk(byte[] data);

    /** The answer is whole. */
    void completed(Usage usage);

    /** No connection to the backend server could be made, so it was given nothing. */
    void notForwarded(String problem);

    /** The answer broke off. */
    void failed(Usage usage, String problem);
}
