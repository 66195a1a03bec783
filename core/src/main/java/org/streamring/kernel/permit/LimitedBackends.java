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
 * Backend servers that name a limit for all entries together, and the permits that this entry has for them.
 *
 * <p>No request goes to such a server without a permit of the limit's owner ({@link PermitIssuer}). Kept by
 * incarnation. Confined to one thread.
 */
public final class LimitedBackends {
    /** No fleet sends one server as much, so that asking for permits would only cost time. */
    static final double LEAST_UNLIMITED_PER_SECOND = 10_000;

    /** Permits not used by then are void: a request that waits for one uses it within one look, 15 ms. */
    static final long USE_MILLIS = 300;

    /** Of a request that was placed with a permit: connecting takes up to 500 ms. */
    static final long SEND_MILLIS = USE_MILLIS + 500;

    /** An answer of the owner is expected within one way there and back between boxes. */
    static final long ANSWER_MILLIS = 20;

    /** Where no owner answers, or can be reached, the next question is due after this time. */
    static final long ASK_AGAIN_MILLIS = 250;

    /** A server with a permit that got nothing for so long is tried next, as only its answers tell of an end. */
    static final long TRY_MILLIS = 2_000;

    private static final int MOST_WANTED = 64;
    private static final long KEEP_MILLIS = 60_000;

    private final LimitEvents events;
    private final Consumer<PermitAsk> asker;
    private final Map<String, Limited> limited = new HashMap<>();
    private final Set<String> unreadable = new HashSet<>();

    /** One server that names a limit. */
    private static final class Limited {
        private @Nullable NamedLimit named;
        private long loweredMillis;
        private long usedMillis;
        private final Deque<Permit> permits = new ArrayDeque<>();
        private @Nullable Long askedMillis;
        private long askAgainMillis;
        private int wanted;

        private NamedLimit named() {
            return Objects.requireNonNull(named);
        }

        /** Permits of a larger limit are void. */
        private boolean allows(Permit permit, long nowMillis) {
            return nowMillis - permit.askedMillis() <= SEND_MILLIS && permit.askedMillis() >= loweredMillis;
        }

        private @Nullable Permit first(long nowMillis) {
            while (!permits.isEmpty() && nowMillis - permits.getFirst().askedMillis() > USE_MILLIS) {
                permits.removeFirst();
            }
            return permits.peekFirst();
        }
    }

    /**
     * Creates one that knows of no limit.
     *
     * @param asker asks for permits; answers come by {@link #granted} or {@link #unanswered}, also before it returns
     */
    public LimitedBackends(LimitEvents events, Consumer<PermitAsk> asker) {
        this.events = events;
        this.asker = asker;
    }

    /**
     * Takes what an answer says. Answers overtake each other, so a smaller limit counts at once; a larger one, or none,
     * counts only if its request was sent after the smaller one was heard.
     *
     * @param sentMillis when the answer's request was sent; 0 if that is not known
     */
    public void answered(String incarnation, LimitWord word, long sentMillis, long nowMillis) {
        if (word.kind() == LimitWord.Kind.UNREADABLE) {
            events.unreadable(incarnation, unreadable.add(incarnation));
        } else if (word.perSecond() < LEAST_UNLIMITED_PER_SECOND && word.kind() == LimitWord.Kind.NAMED) {
            named(incarnation, new NamedLimit(word.perSecond(), sentMillis, nowMillis), "");
        } else {
            notNamed(incarnation, sentMillis, nowMillis);
        }
    }

    /** Takes what another entry heard from a server of which this one knows no limit. */
    public void told(LimitNews news, String byEntry, long nowMillis) {
        if (news.perSecond() != NamedLimit.UNLIMITED && !limited.containsKey(news.incarnation())) {
            long sentMillis = nowMillis - news.sentAgeMillis();
            named(news.incarnation(), new NamedLimit(news.perSecond(), sentMillis, nowMillis), byEntry);
        }
    }

    private void named(String incarnation, NamedLimit word, String byEntry) {
        Limited known = limited.computeIfAbsent(incarnation, key -> new Limited());
        Optional<NamedLimit> before = Optional.ofNullable(known.named);
        NamedLimit after = before.map(older -> older.followedBy(word)).orElse(word);
        known.named = after;
        if (before.isPresent() && after.perSecond() < before.get().perSecond()) {
            known.permits.clear();
            known.loweredMillis = word.heardMillis();
        }
        if (before.isEmpty() || before.get().perSecond() != after.perSecond()) {
            events.limited(incarnation, after.perSecond(), byEntry);
        }
    }

    private void notNamed(String incarnation, long sentMillis, long nowMillis) {
        Limited known = limited.get(incarnation);
        if (known != null && sentMillis > known.named().heardMillis()) {
            limited.remove(incarnation);
            events.unlimited(incarnation, nowMillis - sentMillis);
        }
    }

    /** Whether a server names a limit. */
    public boolean isLimited(String incarnation) {
        return limited.containsKey(incarnation);
    }

    /** Servers that name a limit. */
    public int count() {
        return limited.size();
    }

    /** Whether a request may be placed at a server now: it names no limit, or a permit is at hand. */
    public boolean takes(String incarnation, long nowMillis) {
        Limited known = limited.get(incarnation);
        return known == null || known.first(nowMillis) != null;
    }

    /** Whether a server with a permit at hand got nothing from this entry for so long that it should be tried. */
    public boolean isDue(String incarnation, long nowMillis) {
        Limited known = limited.get(incarnation);
        return known != null && known.first(nowMillis) != null && nowMillis - known.usedMillis >= TRY_MILLIS;
    }

    /** Notes that a request could use a server; asks for a permit if none is at hand and it is time to. */
    public void wanted(String incarnation, long nowMillis) {
        Limited known = limited.get(incarnation);
        if (known == null || known.first(nowMillis) != null) {
            return;
        }
        known.wanted = Math.min(MOST_WANTED, known.wanted + 1);
        if (known.askedMillis != null || nowMillis < known.askAgainMillis) {
            return;
        }
        known.askedMillis = nowMillis;
        int wanted = known.wanted;
        known.wanted = 0;
        asker.accept(new PermitAsk(news(incarnation, known.named(), nowMillis), wanted));
    }

    /** What other entries should know of a server's limit; empty if it names none. */
    Optional<LimitNews> news(String incarnation, long nowMillis) {
        return Optional.ofNullable(limited.get(incarnation)).map(known -> news(incarnation, known.named(), nowMillis));
    }

    private static LimitNews news(String incarnation, NamedLimit named, long nowMillis) {
        return new LimitNews(
                incarnation, named.perSecond(), nowMillis - named.sentMillis(), nowMillis - named.heardMillis());
    }

    /** Takes the owner's answer to the question of a moment; one that comes late grants nothing. */
    public void granted(String incarnation, long askedMillis, PermitGrant grant, long nowMillis) {
        Limited known = limited.get(incarnation);
        if (known == null) {
            return;
        }
        for (int i = 0; i < Math.min(MOST_WANTED, grant.count()); i++) {
            known.permits.addLast(new Permit(incarnation, askedMillis));
        }
        if (known.askedMillis != null && known.askedMillis == askedMillis) {
            known.askedMillis = null;
            known.askAgainMillis = nowMillis + grant.waitMillis();
        }
    }

    /** Notes that no owner answers the question of a moment. */
    public void unanswered(String incarnation, long askedMillis, long nowMillis) {
        granted(incarnation, askedMillis, PermitGrant.none(ASK_AGAIN_MILLIS), nowMillis);
    }

    /** Takes a permit for a request that is placed at a server; empty if it names no limit. */
    public Optional<Permit> place(String incarnation, long nowMillis) {
        Limited known = limited.get(incarnation);
        if (known == null) {
            return Optional.empty();
        }
        known.usedMillis = nowMillis;
        Permit permit = known.first(nowMillis);
        known.permits.pollFirst();
        return Optional.ofNullable(permit);
    }

    /** Whether a request that was placed at a server may be sent to it, asked just before that. */
    public boolean mayBeSent(String incarnation, Optional<Permit> permit, long nowMillis) {
        Limited known = limited.get(incarnation);
        return known == null
                || permit.filter(each -> known.allows(each, nowMillis)).isPresent();
    }

    /** Takes back the permit of a request that was not sent. */
    public void notSent(Permit permit) {
        Limited known = limited.get(permit.incarnation());
        if (known != null) {
            known.permits.addFirst(permit);
        }
    }

    /** Time until a request may be placed at a server, by what the owner said, in milliseconds; 0 if it may now. */
    public long turnMillis(String incarnation, long nowMillis) {
        Limited known = limited.get(incarnation);
        if (known == null || known.first(nowMillis) != null) {
            return 0;
        }
        long turn = known.askedMillis == null ? known.askAgainMillis : known.askedMillis + ANSWER_MILLIS;
        return Math.max(1, turn - nowMillis);
    }

    /** Forgets servers that are no longer known and have said nothing for long. */
    public void forgetGone(Set<String> known, long nowMillis) {
        limited.entrySet()
                .removeIf(each -> !known.contains(each.getKey())
                        && nowMillis - each.getValue().named().heardMillis() > KEEP_MILLIS);
        unreadable.retainAll(known);
    }
}
