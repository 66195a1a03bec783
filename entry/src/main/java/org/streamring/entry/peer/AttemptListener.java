package org.streamring.entry.peer;

import org.streamring.net.generated.Wire.Begin;
import org.streamring.net.generated.Wire.Chunk;
import org.streamring.net.generated.Wire.End;
import org.streamring.net.generated.Wire.Refused;

/**
 * Receives the events of one attempt. No further events follow after {@code ended}, {@code refused} or {@code lost}.
 */
public interface AttemptListener {
    /** Called with the status and headers of the answer. */
    void begun(Begin begin);

    /** Called with a part of the body. */
    void chunk(Chunk chunk);

    /** Called when the attempt has ended. */
    void ended(End end);

    /** Called when the sidecar has refused the attempt; it was not forwarded and will not be. */
    void refused(Refused refused);

    /**
     * Secures a retry elsewhere for the case that this attempt is given up, which {@link #lost} then reports.
     *
     * @return whether a retry is allowed and another replica has room for it
     */
    boolean secureRetry();

    /** Called when the connection is lost; whether the attempt ran is unknown. */
    void lost();
}
