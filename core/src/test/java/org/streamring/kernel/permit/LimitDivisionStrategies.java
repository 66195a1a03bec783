package org.streamring.kernel.permit;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import org.streamring.kernel.routing.RendezvousHash;

/** Strategies for dividing a server's limit among entries, compared by {@link LimitSimulation}. */
final class LimitDivisionStrategies {
    private LimitDivisionStrategies() {}

    /** Decides which requests one entry may send. */
    interface Strategy {
        /** Returns whether a request may be placed at a server; called before a server is chosen. */
        boolean takes(String server, long now);

        /** Records that a request is placed at a server. */
        void place(String server, long now);

        /** Returns whether a placed request may still be sent. */
        boolean mayBeSent(String server, long now);

        /** Records the limit notice of an answer. */
        void answered(String server, LimitWord notice, long sentMillis, long now);
    }

    /** Uses the permits of one owner, as in production. */
    static final class PermitStrategy implements Strategy {
        private final PermitCoordinator coordinator;
        private final Map<String, Deque<Optional<Permit>>> placed = new HashMap<>();

        PermitStrategy(PermitCoordinator coordinator) {
            this.coordinator = coordinator;
        }

        @Override
        public boolean takes(String server, long now) {
            coordinator.wanted(server, now);
            return coordinator.limits().mayBePlaced(server, now);
        }

        @Override
        public void place(String server, long now) {
            placed.computeIfAbsent(server, key -> new ArrayDeque<>())
                    .addLast(coordinator.limits().place(server, now));
        }

        @Override
        public boolean mayBeSent(String server, long now) {
            Optional<Permit> permit = placed.get(server).removeFirst();
            boolean allowed = coordinator.limits().mayBeSent(server, permit, now);
            if (!allowed) {
                permit.ifPresent(coordinator.limits()::notSent);
            }
            return allowed;
        }

        @Override
        public void answered(String server, LimitWord notice, long sentMillis, long now) {
            coordinator.answered(server, notice, sentMillis, now);
        }
    }

    /** Gives some entries a fixed share of the limit, which each enforces locally; other entries send nothing. */
    static final class FixedShareStrategy implements Strategy {
        private static final long WINDOW_MILLIS = 4_500;

        private final String ownName;
        private final Supplier<Set<String>> entries;
        private final int owners;
        private final double shareDivisor;
        private final Map<String, Double> limits = new HashMap<>();
        private final Map<String, Long> noticeReceivedAt = new HashMap<>();
        private final Map<String, Deque<Long>> sent = new HashMap<>();
        private final Map<String, Boolean> owned = new HashMap<>();
        private Set<String> lastEntries = Set.of();

        /**
         * Creates a strategy.
         *
         * @param owners number of entries that have a share of each server's limit
         * @param shareDivisor number of shares into which the bound of a window is divided
         */
        FixedShareStrategy(String ownName, Supplier<Set<String>> entries, int owners, double shareDivisor) {
            this.ownName = ownName;
            this.entries = entries;
            this.owners = owners;
            this.shareDivisor = shareDivisor;
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
            int allowed = (int) Math.min((6 * limit + 5) / shareDivisor, Math.max(1, 4.5 * limit / owners));
            return owns && times.size() < allowed;
        }

        private boolean owns(String server) {
            Set<String> current = entries.get();
            if (!current.equals(lastEntries)) {
                lastEntries = current;
                owned.clear();
            }
            return owned.computeIfAbsent(server, key -> RendezvousHash.order(key, lastEntries).stream()
                    .limit(owners)
                    .anyMatch(ownName::equals));
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
        public void answered(String server, LimitWord notice, long sentMillis, long now) {
            if (notice.kind() == LimitWord.Kind.NAMED) {
                limits.put(server, notice.perSecond());
                noticeReceivedAt.put(server, now);
            } else if (sentMillis > noticeReceivedAt.getOrDefault(server, Long.MAX_VALUE)) {
                limits.remove(server);
            }
        }
    }
}
