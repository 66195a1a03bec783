package org.streamring.standin.http;

import java.util.Map;

/**
 * Notices of a stand-in that accompany its answers, for example a shutdown, a back-off or a limit.
 *
 * @param headers headers that are added to each answer
 * @param turnsAway whether requests are refused with status 503 and not run
 */
public record AnswerNotices(Map<String, String> headers, boolean turnsAway) {
    /** No notices. */
    public static final AnswerNotices NONE = new AnswerNotices(Map.of(), false);

    /** Creates notices with an immutable copy of the headers. */
    public AnswerNotices {
        headers = Map.copyOf(headers);
    }
}
