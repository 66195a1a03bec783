package org.streamring.kernel.permit;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * An entry's part in dividing the limits that backend servers name: asks the owners of permits for its own requests,
 * and answers others as an owner. Confined to one thread.
 */
public final class PermitDesk {
    /** An owner that is reached answers within a few milliseconds; then the next one is asked. */
    public static final long TIMEOUT_MILLIS = 100;

    /** An owner that did not answer is passed over for so long, as each question to it costs the time above. */
    static final long PASSED_OVER_MILLIS = 1_000;

    /** Answers that say the same as before are told on this often. */
    static final long TELL_AGAIN_MILLIS = 500;

    private final String own;
    private final PermitLink link;
    private final LimitEvents events;
    private final LimitedBackends limits;
    private final PermitIssuer issuer = new PermitIssuer();
    private final PermitOwners owners;
    private final Map<Long, Query> queries = new HashMap<>();
    private final Map<String, Told> told = new HashMap<>();
    private final Map<String, Long> passedOverUntil = new HashMap<>();
    private Set<String> connected = Set.of();
    private long nextNumber;
    private long nowMillis;

    /** What the owners of a server's permits were told last. */
    private record Told(double perSecond, long atMillis) {}

    /** A question under way to one owner. */
    private record Query(PermitAsk ask, String entry, long askedMillis, long sentMillis) {}

    /**
     * Creates one that knows of no limit and no other entry.
     *
     * @param own name of this entry
     * @param events told what is believed of the servers' limits
     */
    public PermitDesk(String own, PermitLink link, LimitEvents events) {
        this.own = own;
        this.link = link;
        this.events = events;
        this.owners = new PermitOwners(own);
        this.limits = new LimitedBackends(new Changes(), this::ask);
    }

    /** What this entry believes of the servers' limits, and its permits. */
    public LimitedBackends limits() {
        return limits;
    }

    /**
     * Takes who takes part.
     *
     * @param entries entries that may own permits, this one among them; none while they are not known
     * @param connectedEntries entries to which a connection is open
     */
    public void entries(Set<String> entries, Set<String> connectedEntries, long now) {
        connected = Set.copyOf(connectedEntries);
        boolean isolated = entries.size() > 1 && entries.stream().noneMatch(connected::contains);
        owners.entries(entries, isolated, now);
    }

    private void ask(PermitAsk ask) {
        ask(ask, nowMillis, new HashSet<>());
    }

    /** Asks the first owner that can be reached and was not tried for this question. */
    private void ask(PermitAsk ask, long askedMillis, Set<String> tried) {
        Optional<String> owner = owners.of(ask.incarnation()).stream()
                .filter(each -> !tried.contains(each))
                .filter(this::isReached)
                .findFirst();
        if (owner.isEmpty()) {
            limits.unanswered(ask.incarnation(), askedMillis, nowMillis);
        } else if (owner.get().equals(own)) {
            limits.granted(ask.incarnation(), askedMillis, issue(ask), nowMillis);
        } else {
            long number = nextNumber++;
            queries.put(number, new Query(ask, owner.get(), askedMillis, nowMillis));
            link.ask(owner.get(), number, ask);
        }
    }

    private boolean isReached(String entry) {
        boolean passedOver = passedOverUntil.getOrDefault(entry, Long.MIN_VALUE) > nowMillis;
        return entry.equals(own) || (connected.contains(entry) && !passedOver);
    }

    private PermitGrant issue(PermitAsk ask) {
        double share = owners.share(ask.incarnation());
        return share == 0 ? PermitGrant.none(LimitedBackends.ASK_AGAIN_MILLIS) : issuer.ask(ask, share, nowMillis);
    }

    /** Notes that a request could use a server, which asks for a permit where one is lacking. */
    public void wanted(String incarnation, long now) {
        nowMillis = now;
        limits.wanted(incarnation, now);
    }

    /** Answers another entry's question, and heeds the limit that it names. */
    public PermitGrant asked(String byEntry, PermitAsk ask, long now) {
        nowMillis = now;
        PermitGrant grant = issue(ask);
        heed(ask.news(), byEntry);
        return grant;
    }

    /** Takes an owner's answer; one that comes after its time has granted nothing. */
    public void granted(long number, PermitGrant grant, long now) {
        nowMillis = now;
        Query query = queries.remove(number);
        if (query != null) {
            limits.granted(query.ask().incarnation(), query.askedMillis(), grant, now);
        }
    }

    /** Takes what another entry heard of a server's limit. */
    public void told(String byEntry, LimitNews news, long now) {
        nowMillis = now;
        issuer.hear(news, now);
        heed(news, byEntry);
    }

    private void heed(LimitNews news, String byEntry) {
        if (issuer.binds(news.incarnation())) {
            limits.told(news, byEntry, nowMillis);
        }
    }

    /** Takes what an answer says; see {@link LimitedBackends#answered}. */
    public void answered(String incarnation, LimitWord word, long sentMillis, long now) {
        nowMillis = now;
        limits.answered(incarnation, word, sentMillis, now);
        if (word.kind() == LimitWord.Kind.NAMED) {
            limits.news(incarnation, now).filter(this::isNews).ifPresent(this::tellOwners);
        }
    }

    /** An owner that was misled by late news is set right by the next answer. */
    private boolean isNews(LimitNews news) {
        Told before = told.get(news.incarnation());
        return before == null
                || before.perSecond() != news.perSecond()
                || nowMillis - before.atMillis() >= TELL_AGAIN_MILLIS;
    }

    /** Goes on with questions that are not answered in time; to be called so long after each. */
    public void goOnWithUnanswered(long now) {
        nowMillis = now;
        for (Map.Entry<Long, Query> each : List.copyOf(queries.entrySet())) {
            Query query = each.getValue();
            if (now - query.sentMillis() >= TIMEOUT_MILLIS) {
                queries.remove(each.getKey());
                passedOverUntil.put(query.entry(), now + PASSED_OVER_MILLIS);
                ask(query.ask(), query.askedMillis(), Set.of(query.entry()));
            }
        }
    }

    /** How much of each limit this entry's permits used; see {@link PermitIssuer#takeUse}. */
    public List<Double> takeUse(long sinceMillis, long now) {
        return issuer.takeUse(sinceMillis, now);
    }

    /** Forgets servers that are gone. */
    public void forgetGone(Set<String> known, long now) {
        limits.forgetGone(known, now);
        issuer.forgetUnasked(now);
        passedOverUntil.values().removeIf(until -> until < now);
        told.keySet().removeIf(each -> !limits.isLimited(each));
    }

    /** Owners learn of a change from whoever hears it first: they pace the permits of all. */
    private void tellOwners(LimitNews news) {
        if (news.perSecond() != NamedLimit.UNLIMITED) {
            told.put(news.incarnation(), new Told(news.perSecond(), nowMillis));
        }
        issuer.hear(news, nowMillis);
        owners.of(news.incarnation()).stream()
                .filter(each -> !each.equals(own))
                .filter(connected::contains)
                .forEach(each -> link.tell(each, news));
    }

    private final class Changes implements LimitEvents {
        @Override
        public void limited(String incarnation, double perSecond, String byEntry) {
            events.limited(incarnation, perSecond, byEntry);
        }

        @Override
        public void unlimited(String incarnation, long sentAgeMillis) {
            told.remove(incarnation);
            tellOwners(new LimitNews(incarnation, NamedLimit.UNLIMITED, sentAgeMillis, 0));
            events.unlimited(incarnation, sentAgeMillis);
        }

        @Override
        public void unreadable(String incarnation, boolean first) {
            events.unreadable(incarnation, first);
        }
    }
}
