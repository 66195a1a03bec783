package org.streamring.direct.request;

import org.streamring.direct.backend.AnswerHead;
import org.streamring.net.http.Body;

/** Collects the body of an answer that is passed on when it is complete. Confined to the event loop. */
final class AnswerBody {
    private final AnswerMemory memory;
    private final Body.Builder bytes = new Body.Builder();

    AnswerBody(AnswerMemory memory) {
        this.memory = memory;
    }

    /** Called when the head has arrived; returns whether the body may be read. */
    boolean expect(AnswerHead head) {
        return memory.expect(head.length());
    }

    /** Adds a part of the body; returns false, and adds nothing, if the body is larger than any that may be kept. */
    boolean add(byte[] part) {
        if (!memory.admits(bytes.length() + part.length)) {
            return false;
        }
        bytes.add(part);
        return true;
    }

    /** Returns whether an event of a stream that has not arrived whole may have this size in bytes. */
    boolean admitsEvent(int partialBytes) {
        return memory.admitsEvent(partialBytes);
    }

    /** Returns the complete answer, which keeps the memory that it needs. */
    BufferedAnswer whole(AnswerHead head) {
        memory.whole(bytes.length());
        return new BufferedAnswer(head, bytes.build(), memory::release);
    }

    /** Gives back all memory. */
    void release() {
        memory.release();
    }
}
