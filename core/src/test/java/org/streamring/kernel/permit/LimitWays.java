package org.streamring.kernel.permit;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import org.streamring.kernel.routing.RendezvousHash;

/** Ways to divide a server's limit among entries, compared by {@link LimitFleet}. */
final class LimitWays {
    private LimitWays() {}

    /** What one entry may send. */
    interface Way {
        /** Asks before a choice whether a request may go to a server. */
        boolean takes(String server, long now);

        /** A request is placed. */
        void place(String server, long now);

        /** Whether it may still be sent. */
        boolean mayBeSent(String server, long now);

        /** An answer was heard. */
        void answered(String server, LimitWord word, long sentMillis, long now);
    }

    /** Permits of one owner, as the product does it. */
    static final class Permits implements Way {
        private final PermitDesk desk;
        private final Map<String, Deque<Optional<Permit>>> placed = new HashMap<>();

        Permits(PermitDesk desk) {
            this.desk = desk;
        }

        @Override
        public boolean takes(String server, long now) {
            desk.wanted(server, now);
            return desk.limits().takes(server, now);
        }

        @Override
        public void place(String server, long now) {
            placed.computeIfAbsent(server, key -> new ArrayDeque<>())
                    .addLast(desk.limits().place(server, now));
        }

        @Override
        public boolean mayBeSent(String server, long now) {
            Optional<Permit> permit = placed.get(server).removeFirst();
            boolean may = desk.limits().mayBeSent(server, permit, now);
            if (!may) {
                permit.ifPresent(desk.limits()::notSent);
            }
            return may;
        }

        @Override
        public void answered(String server, LimitWord word, long sentMillis, long now) {
            desk.answered(server, word, sentMillis, now);
        }
    }

    /** A part of the limit for some entries, each kept by itself; others send nothing. */
    static final class FixedParts implements Way {
        private static final long WINDOW_MILLIS = 4_500;

        private final String own;
        private final Supplier<Set<String>> entries;
        private final int owners;
        private final double ofLimit;
        private final Map<String, Double> limits = new HashMap<>();
        private final Map<String, Long> heard = new HashMap<>();
        private final Map<String, Deque<Long>> sent = new HashMap<>();
        private final Map<String, Boolean> owned = new HashMap<>();
        private Set<String> known = Set.of();

        /**
         * Creates one.
         *
         * @param owners entries that have a part of each server's limit
         * @param ofLimit parts into which the bound of a window is divided, for each owner
         */
        FixedParts(String own, Supplier<Set<String>> entries, int owners, double ofLimit) {
            this.own = own;
            this.entries = entries;
            this.owners = owners;
            this.ofLimit = ofLimit;
        }

        @Override
        public boolean takes(String server, long now) {
            Double limit = limits.get(server);
            if (limit == null) {
                return true;
            }
            Deque<Long> times = sent.computeIfAbsent(server, key -> new ArrayDeque<>());
            while (!times.isEmpty() && now - times.peekFirst() > WINDOW_MILLIS) {
                times.removeFirst();
            }
            boolean owns = owns(server);
            int part = (int) Math.min((6 * limit + 5) / ofLimit, Math.max(1, 4.5 * limit / owners));
            return owns && times.size() < part;
        }

        private boolean owns(String server) {
            Set<String> current = entries.get();
            if (!current.equals(known)) {
                known = current;
                owned.clear();
            }
            return owned.computeIfAbsent(server, key -> RendezvousHash.order(key, known).stream()
                    .limit(owners)
                    .anyMatch(own::equals));
        }

        @Override
        public void place(String server, long now) {
            sent.computeIfAbsent(server, key -> new ArrayDeque<>()).addLast(now);
        }

        @Override
        public boolean mayBeSent(String server, long now) {
            return true;
        }

        @Override
        public void answered(String server, LimitWord word, long sentMillis, long now) {
            if (word.kind() == LimitWord.Kind.NAMED) {
                limits.put(server, word.perSecond());
                heard.put(server, now);
            } else if (sentMillis > heard.getOrDefault(server, Long.MAX_VALUE)) {
                limits.remove(server);
            }
        }
    }
}
