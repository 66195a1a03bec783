package org.streamring.sidecar.backend;

import java.util.List;
import org.streamring.kernel.receipt.Usage;
import org.streamring.net.generated.Wire.Header;

/**
 * Receives the answer of a backend server, on an I/O thread. Each call ends with exactly one of {@link #completed},
 * {@link #notForwarded} and {@link #failed}.
 */
public interface BackendListener {
    /** Called with the status and headers of the answer. */
    void begun(int status, List<Header> headers);

    /** Called with each part of the body. */
    void chunk(byte[] data);

    /** Called when the answer is complete. */
    void completed(Usage usage);

    /** Called when no connection could be established, so that nothing was sent to the backend server. */
    void notForwarded(String problem);

    /** Called when the answer ended before it was complete. */
    void failed(Usage usage, String problem);
}
