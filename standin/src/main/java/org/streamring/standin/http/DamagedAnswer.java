package org.streamring.standin.http;

import java.util.List;

/**
 * A script by which a server answers one request, in part or more than once.
 *
 * @param steps the last one is an {@link AnswerStep.End}
 * @param written the answers to the request that are written as a whole; a caller may be given one of them and nothing
 *     else
 * @param evidence what shows that the remaining bytes are no whole answer
 * @param description what the script does, in words
 */
public record DamagedAnswer(
        List<AnswerStep> steps, List<AnswerContent> written, Evidence evidence, String description) {
    /** Creates a script with immutable copies of the lists. */
    public DamagedAnswer {
        steps = List.copyOf(steps);
        written = List.copyOf(written);
    }

    /** Returns how the script ends. */
    public AnswerEnd end() {
        return ((AnswerStep.End) steps.get(steps.size() - 1)).how();
    }
}
