package org.streamring.standin.http;

import java.util.Map;

/**
 * What a stand-in says of itself besides its answers, such as that it leaves, wants rest or takes only so much.
 *
 * @param headers headers of each answer
 * @param turnsAway whether requests are turned away with 503 and not run
 */
public record AnswerNotices(Map<String, String> headers, boolean turnsAway) {
    /** It says nothing. */
    public static final AnswerNotices NONE = new AnswerNotices(Map.of(), false);

    /** Copies the map. */
    public AnswerNotices {
        headers = Map.copyOf(headers);
    }
}
