package org.streamring.direct.peer;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Stream;
import org.streamring.direct.feed.MemberRegister.Member;
import org.streamring.direct.feed.MemberRegister.Others;
import org.streamring.kernel.prepaid.AccountHomes;
import org.streamring.kernel.routing.RendezvousHash;

/**
 * Which other entries this one connects to, and which it tells of its load. Chosen by the hash of its own name, so that
 * the choice stays as entries come and go, and others choose differently.
 */
final class PeerChoice {
    /** Connections that an entry makes; as many again come from others, and one from every entry to a holder. */
    static final int MOST_CONNECTED = AccountHomes.ALL_CONNECTED;

    /** Frames that a report or a long prompt costs; they must not grow with the fleet. */
    static final int MOST_TOLD = AccountHomes.ALL_CONNECTED;

    /** All are connected to the holders; told by all, one of 24 before 300 entries would hear 500 reports a second. */
    static final int HOLDERS_TOLD = 4;

    private final String own;

    /**
     * Creates one.
     *
     * @param own name of this entry
     */
    PeerChoice(String own) {
        this.own = own;
    }

    /** Entries to connect to, holders of leases first; absent ones last, as they may be back unheard of. */
    List<Member> connectedTo(Others others, Set<String> holders) {
        Stream<Member> live = Stream.concat(
                ordered(others.live(), each -> holders.contains(each.name())),
                ordered(others.live(), each -> !holders.contains(each.name())));
        return Stream.concat(live, ordered(others.absent(), each -> true))
                .limit(MOST_CONNECTED)
                .toList();
    }

    /** Names of the connected entries that hear of this one's load. */
    List<String> toldOfLoad(Collection<String> connected, Set<String> holders) {
        if (connected.size() <= MOST_TOLD) {
            return List.copyOf(connected);
        }
        List<String> order = RendezvousHash.order(own, connected);
        Stream<String> told = order.stream().filter(holders::contains).limit(HOLDERS_TOLD);
        Stream<String> others = order.stream().filter(name -> !holders.contains(name));
        return Stream.concat(told, others).limit(MOST_TOLD).toList();
    }

    private Stream<Member> ordered(List<Member> members, Predicate<Member> which) {
        Map<String, Member> byName = new HashMap<>();
        members.stream().filter(which).forEach(each -> byName.put(each.name(), each));
        return RendezvousHash.order(own, byName.keySet()).stream().map(byName::get);
    }
}
