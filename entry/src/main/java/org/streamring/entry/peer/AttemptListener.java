package org.streamring.entry.peer;

import org.streamring.net.generated.Wire.Begin;
import org.streamring.net.generated.Wire.Chunk;
import org.streamring.net.generated.Wire.End;
import org.streamring.net.generated.Wire.Refused;

/** Told what becomes of one attempt. After {@code ended}, {@code refused} or {@code lost} nothing more follows. */
public interface AttemptListener {
    /** Status and headers. */
    void begun(Begin begin);

    /** Part of the body. */
    void chunk(Chunk chunk);

    /** The attempt ended. */
    void ended(End end);

    /** The attempt was not forwarded and will not be. */
    void refused(Refused refused);

    /** The connection is gone; it is not known what became of the attempt. */
    void lost();
}
