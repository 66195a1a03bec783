package org.streamring.direct.request;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import org.streamring.kernel.suspect.SuspectId;

/** Summary of the attempts of this entry that broke off when a server may have ended, for its log line. */
final class BrokenAttempts {
    private static final int MAX_PARTS = 1_024;
    private static final int MAX_LOGGED_PARTS = 12;

    private int waiting;
    private int begun;
    private int withEvents;
    /** Number of attempts without an event, by part of their prompts. */
    private final Map<SuspectId, Integer> attemptsByPart = new HashMap<>();

    void add(AttemptProgress progress, List<SuspectId> parts) {
        if (progress.events() > 0) {
            withEvents++;
            return;
        }
        if (progress.begun()) {
            begun++;
        } else {
            waiting++;
        }
        for (SuspectId part : parts) {
            if (attemptsByPart.size() < MAX_PARTS || attemptsByPart.containsKey(part)) {
                attemptsByPart.merge(part, 1, Integer::sum);
            }
        }
    }

    /** Returns the number of attempts of which nothing had been received. */
    int waiting() {
        return waiting;
    }

    /** Returns the number of attempts of which the head of the answer had been received, but no event. */
    int begun() {
        return begun;
    }

    /** Returns the number of attempts of which events had been received. */
    int withEvents() {
        return withEvents;
    }

    /** Returns the parts that most of the attempts without an event had in common, with the number of attempts. */
    String commonParts() {
        return attemptsByPart.entrySet().stream()
                .sorted(Map.Entry.<SuspectId, Integer>comparingByValue(Comparator.reverseOrder())
                        .thenComparing(part -> part.getKey().text()))
                .limit(MAX_LOGGED_PARTS)
                .map(part -> part.getKey().text() + "=" + part.getValue())
                .collect(Collectors.joining(","));
    }
}
