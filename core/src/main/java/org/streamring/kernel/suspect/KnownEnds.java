package org.streamring.kernel.suspect;

import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/**
 * Names of the server processes that are known to have ended. The row of a server that restarted under its identifier
 * may arrive late or, during a store outage, not at all; its new process is then told apart by a number.
 */
final class KnownEnds {
    private static final int MAX_ENDS = 1_024;
    private static final String NUMBER_SEPARATOR = "+";

    /** Times at which the ends were recorded, the oldest first. */
    private final Map<String, Long> millisByName = new LinkedHashMap<>();

    void add(String name, long nowMillis) {
        millisByName.putIfAbsent(name, nowMillis);
        if (millisByName.size() > MAX_ENDS) {
            millisByName.remove(millisByName.keySet().iterator().next());
        }
    }

    boolean contains(String name) {
        return millisByName.containsKey(name);
    }

    /** Returns the name of the process that runs now as an incarnation of a server. */
    String currentName(String incarnation) {
        String name = incarnation;
        for (int number = 1; contains(name); number++) {
            name = incarnation + NUMBER_SEPARATOR + number;
        }
        return name;
    }

    /** Removes ends recorded at or before the given time, except those that are still in use. */
    void expire(long oldestMillis, Set<String> used) {
        Set<String> old = new HashSet<>();
        millisByName.forEach((name, millis) -> {
            if (millis <= oldestMillis && !used.contains(name)) {
                old.add(name);
            }
        });
        millisByName.keySet().removeAll(old);
    }
}
