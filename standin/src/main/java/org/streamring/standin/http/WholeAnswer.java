package org.streamring.standin.http;

/**
 * All bytes of an answer, as ASCII text.
 *
 * @param text interim heads, head, body and trailers
 * @param headStart index behind the interim heads
 * @param bodyStart index behind the head
 * @param trailerStart index of the empty chunk, or of the end if the body has no chunks
 */
public record WholeAnswer(
        AnswerContent content, AnswerFraming framing, String text, int headStart, int bodyStart, int trailerStart) {
    /** Names the part of the answer that contains the byte in front of an index. */
    String partAt(int index) {
        if (index <= headStart) {
            return "interim heads";
        }
        if (index < bodyStart) {
            return "head";
        }
        return index < trailerStart ? "body" : "end of the body";
    }

    /** Returns the index behind the first status line, which may be that of an interim head. */
    int firstLineEnd() {
        return text.indexOf('\n') + 1;
    }
}
