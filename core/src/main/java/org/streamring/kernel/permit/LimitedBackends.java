package org.streamring.kernel.permit;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;

/**
 * Backend servers that announce a limit for all entries together, and the permits that this entry holds for them.
 *
 * <p>No request is sent to such a server without a permit from the owner of its limit ({@link PermitIssuer}). State is
 * kept per incarnation. Confined to one thread.
 */
public final class LimitedBackends {
    /**
     * Rate from which a limit is ignored: no fleet sends that much to one server, so permits would only add latency.
     */
    static final double MIN_UNLIMITED_PER_SECOND = 10_000;

    /** Time after which an unused permit expires; a waiting request checks for permits every 15 ms. */
    static final long PERMIT_EXPIRY_MILLIS = 300;

    /** Time within which a request placed with a permit must be sent; connecting takes up to 500 ms. */
    static final long SENDING_EXPIRY_MILLIS = PERMIT_EXPIRY_MILLIS + 500;

    /** Expected time until the owner answers, one round trip between boxes. */
    static final long EXPECTED_ANSWER_MILLIS = 20;

    /** Time until the next permit request if no owner answers or can be reached. */
    static final long RETRY_MILLIS = 250;

    /**
     * Time without a request after which a server with a permit is used next: only its answers show that a limit ended.
     */
    static final long PROBE_AFTER_MILLIS = 2_000;

    private static final int MAX_PERMITS = 64;
    private static final long RETENTION_MILLIS = 60_000;

    private final LimitEvents events;
    private final Consumer<PermitAsk> requestSender;
    private final Map<String, Limited> limited = new HashMap<>();
    private final Set<String> unreadable = new HashSet<>();

    /** State of one server that announces a limit. */
    private static final class Limited {
        private @Nullable AnnouncedLimit announced;
        private long limitLoweredMillis;
        private long lastPlacedMillis;
        private final Deque<Permit> permits = new ArrayDeque<>();
        private @Nullable Long askedMillis;
        private long nextRequestMillis;
        private int wanted;

        private AnnouncedLimit limit() {
            return Objects.requireNonNull(announced);
        }

        /** Returns whether a permit is valid; a permit requested before the limit was lowered is not. */
        private boolean allows(Permit permit, long nowMillis) {
            return nowMillis - permit.askedMillis() <= SENDING_EXPIRY_MILLIS
                    && permit.askedMillis() >= limitLoweredMillis;
        }

        private @Nullable Permit firstUsable(long nowMillis) {
            while (!permits.isEmpty() && nowMillis - permits.getFirst().askedMillis() > PERMIT_EXPIRY_MILLIS) {
                permits.removeFirst();
            }
            return permits.peekFirst();
        }
    }

    /**
     * Creates an instance without recorded limits.
     *
     * @param requestSender sends permit requests; they are answered by {@link #granted} or {@link #requestFailed},
     *     possibly before it returns
     */
    public LimitedBackends(LimitEvents events, Consumer<PermitAsk> requestSender) {
        this.events = events;
        this.requestSender = requestSender;
    }

    /**
     * Records the limit notice of an answer. Answers may arrive out of order, so a smaller limit applies at once; a
     * larger limit, or none, applies only if its request was sent after the smaller one was received.
     *
     * @param sentMillis when the request was sent to the server; 0 if not known
     */
    public void answered(String incarnation, LimitWord notice, long sentMillis, long nowMillis) {
        if (notice.kind() == LimitWord.Kind.UNREADABLE) {
            events.unreadable(incarnation, unreadable.add(incarnation));
        } else if (notice.perSecond() < MIN_UNLIMITED_PER_SECOND && notice.kind() == LimitWord.Kind.NAMED) {
            recordLimit(incarnation, new AnnouncedLimit(notice.perSecond(), sentMillis, nowMillis), "");
        } else {
            endLimit(incarnation, sentMillis, nowMillis);
        }
    }

    /** Records a limit reported by another entry, if this entry has recorded none for the server. */
    public void recordReported(LimitNews update, String byEntry, long nowMillis) {
        if (update.perSecond() != AnnouncedLimit.UNLIMITED && !limited.containsKey(update.incarnation())) {
            long sentMillis = nowMillis - update.sentAgeMillis();
            recordLimit(update.incarnation(), new AnnouncedLimit(update.perSecond(), sentMillis, nowMillis), byEntry);
        }
    }

    private void recordLimit(String incarnation, AnnouncedLimit notice, String byEntry) {
        Limited state = limited.computeIfAbsent(incarnation, key -> new Limited());
        Optional<AnnouncedLimit> before = Optional.ofNullable(state.announced);
        AnnouncedLimit after = before.map(older -> older.combinedWith(notice)).orElse(notice);
        state.announced = after;
        if (before.isPresent() && after.perSecond() < before.get().perSecond()) {
            state.permits.clear();
            state.limitLoweredMillis = notice.heardMillis();
        }
        if (before.isEmpty() || before.get().perSecond() != after.perSecond()) {
            events.limited(incarnation, after.perSecond(), byEntry);
        }
    }

    private void endLimit(String incarnation, long sentMillis, long nowMillis) {
        Limited state = limited.get(incarnation);
        if (state != null && sentMillis > state.limit().heardMillis()) {
            limited.remove(incarnation);
            events.unlimited(incarnation, nowMillis - sentMillis);
        }
    }

    /** Returns whether a server announces a limit. */
    public boolean isLimited(String incarnation) {
        return limited.containsKey(incarnation);
    }

    /** Returns the number of servers that announce a limit. */
    public int count() {
        return limited.size();
    }

    /** Returns whether a request may be placed at a server now: it announces no limit, or a permit is available. */
    public boolean mayBePlaced(String incarnation, long nowMillis) {
        Limited state = limited.get(incarnation);
        return state == null || state.firstUsable(nowMillis) != null;
    }

    /**
     * Returns whether a server with an available permit has received no request from this entry for so long that it
     * should be used next.
     */
    public boolean isDue(String incarnation, long nowMillis) {
        Limited state = limited.get(incarnation);
        return state != null
                && state.firstUsable(nowMillis) != null
                && nowMillis - state.lastPlacedMillis >= PROBE_AFTER_MILLIS;
    }

    /**
     * Records that a request could be sent to a server; requests a permit if none is available and a request is due.
     */
    public void wanted(String incarnation, long nowMillis) {
        Limited state = limited.get(incarnation);
        if (state == null || state.firstUsable(nowMillis) != null) {
            return;
        }
        state.wanted = Math.min(MAX_PERMITS, state.wanted + 1);
        if (state.askedMillis != null || nowMillis < state.nextRequestMillis) {
            return;
        }
        state.askedMillis = nowMillis;
        int wanted = state.wanted;
        state.wanted = 0;
        requestSender.accept(new PermitAsk(toUpdate(incarnation, state.limit(), nowMillis), wanted));
    }

    /** Returns the limit update for other entries; empty if the server announces no limit. */
    Optional<LimitNews> update(String incarnation, long nowMillis) {
        return Optional.ofNullable(limited.get(incarnation))
                .map(state -> toUpdate(incarnation, state.limit(), nowMillis));
    }

    private static LimitNews toUpdate(String incarnation, AnnouncedLimit announced, long nowMillis) {
        return new LimitNews(
                incarnation,
                announced.perSecond(),
                nowMillis - announced.sentMillis(),
                nowMillis - announced.heardMillis());
    }

    /**
     * Accepts the owner's answer to a permit request. Permits expire a fixed time after the request, so a late answer
     * adds none.
     *
     * @param askedMillis when the permits were requested
     */
    public void granted(String incarnation, long askedMillis, PermitGrant grant, long nowMillis) {
        Limited state = limited.get(incarnation);
        if (state == null) {
            return;
        }
        for (int i = 0; i < Math.min(MAX_PERMITS, grant.count()); i++) {
            state.permits.addLast(new Permit(incarnation, askedMillis));
        }
        if (state.askedMillis != null && state.askedMillis == askedMillis) {
            state.askedMillis = null;
            state.nextRequestMillis = nowMillis + grant.waitMillis();
        }
    }

    /** Records that no owner answers the permit request sent at the given time. */
    public void requestFailed(String incarnation, long askedMillis, long nowMillis) {
        granted(incarnation, askedMillis, PermitGrant.none(RETRY_MILLIS), nowMillis);
    }

    /** Takes a permit for a request that is placed at a server; empty if the server announces no limit. */
    public Optional<Permit> place(String incarnation, long nowMillis) {
        Limited state = limited.get(incarnation);
        if (state == null) {
            return Optional.empty();
        }
        state.lastPlacedMillis = nowMillis;
        Permit permit = state.firstUsable(nowMillis);
        state.permits.pollFirst();
        return Optional.ofNullable(permit);
    }

    /**
     * Returns whether a request that was placed at a server may be sent to it now; to be called just before sending.
     */
    public boolean mayBeSent(String incarnation, Optional<Permit> permit, long nowMillis) {
        Limited state = limited.get(incarnation);
        return state == null
                || permit.filter(each -> state.allows(each, nowMillis)).isPresent();
    }

    /** Returns the permit of a request that was not sent to the pool of unused permits. */
    public void notSent(Permit permit) {
        Limited state = limited.get(permit.incarnation());
        if (state != null) {
            state.permits.addFirst(permit);
        }
    }

    /**
     * Returns the time until a request may be placed at a server, by the owner's last answer, in milliseconds; 0 if it
     * may be placed now.
     */
    public long millisUntilPlaceable(String incarnation, long nowMillis) {
        Limited state = limited.get(incarnation);
        if (state == null || state.firstUsable(nowMillis) != null) {
            return 0;
        }
        long nextMillis =
                state.askedMillis == null ? state.nextRequestMillis : state.askedMillis + EXPECTED_ANSWER_MILLIS;
        return Math.max(1, nextMillis - nowMillis);
    }

    /**
     * Removes servers that are no longer listed and have announced no limit within the retention period.
     *
     * @param known incarnations that are listed
     */
    public void forgetGone(Set<String> known, long nowMillis) {
        limited.entrySet()
                .removeIf(each -> !known.contains(each.getKey())
                        && nowMillis - each.getValue().limit().heardMillis() > RETENTION_MILLIS);
        unreadable.retainAll(known);
    }
}
