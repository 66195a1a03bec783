package org.streamring.direct.peer;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Stream;
import org.streamring.direct.feed.MemberRegister.Member;
import org.streamring.direct.feed.MemberRegister.OtherEntries;
import org.streamring.kernel.prepaid.HomeEntries;
import org.streamring.kernel.routing.RendezvousHash;

/**
 * Selects the entries to which this entry connects and those to which it reports its load. Entries are ordered by
 * rendezvous hash of this entry's name, so that the selection is stable when entries join or leave, and differs between
 * entries.
 */
final class PeerChoice {
    /**
     * Maximum number of connections that an entry opens. Other entries open about as many to it, and every entry opens
     * one to each holder of leases.
     */
    static final int MAX_CONNECTIONS = HomeEntries.ALL_CONNECTED;

    /** Maximum number of frames per load report or long prompt, so that they do not grow with the fleet. */
    static final int MAX_LOAD_REPORT_TARGETS = HomeEntries.ALL_CONNECTED;

    /**
     * Maximum number of holders among the targets. All entries are connected to the holders. If all of 300 entries
     * reported to each of 24 holders, a holder would receive 500 reports per second.
     */
    static final int MAX_HOLDER_TARGETS = 4;

    private final String own;

    /**
     * Creates a selection for an entry.
     *
     * @param own name of this entry
     */
    PeerChoice(String own) {
        this.own = own;
    }

    /**
     * Returns the entries to connect to: holders of leases first, absent entries last. Absent entries are included
     * because they may have restarted before the member list shows it.
     */
    List<Member> connectionTargets(OtherEntries otherEntries, Set<String> holders) {
        Stream<Member> live = Stream.concat(
                orderedByHash(otherEntries.live(), each -> holders.contains(each.name())),
                orderedByHash(otherEntries.live(), each -> !holders.contains(each.name())));
        return Stream.concat(live, orderedByHash(otherEntries.absent(), each -> true))
                .limit(MAX_CONNECTIONS)
                .toList();
    }

    /** Returns the names of the connected entries to which this entry reports its load. */
    List<String> loadReportTargets(Collection<String> connected, Set<String> holders) {
        if (connected.size() <= MAX_LOAD_REPORT_TARGETS) {
            return List.copyOf(connected);
        }
        List<String> order = RendezvousHash.order(own, connected);
        Stream<String> holderTargets = order.stream().filter(holders::contains).limit(MAX_HOLDER_TARGETS);
        Stream<String> others = order.stream().filter(name -> !holders.contains(name));
        return Stream.concat(holderTargets, others)
                .limit(MAX_LOAD_REPORT_TARGETS)
                .toList();
    }

    private Stream<Member> orderedByHash(List<Member> members, Predicate<Member> condition) {
        Map<String, Member> byName = new HashMap<>();
        members.stream().filter(condition).forEach(each -> byName.put(each.name(), each));
        return RendezvousHash.order(own, byName.keySet()).stream().map(byName::get);
    }
}
