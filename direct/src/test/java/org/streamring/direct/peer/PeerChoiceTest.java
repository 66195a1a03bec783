package org.streamring.direct.peer;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.streamring.direct.feed.MemberRegister.Member;
import org.streamring.direct.feed.MemberRegister.OtherEntries;
import org.testng.annotations.Test;

public class PeerChoiceTest {
    private static final int ENTRIES = 300;
    private static final Set<String> HOLDERS =
            IntStream.range(0, 24).mapToObj(each -> "entry-" + each * 12).collect(Collectors.toSet());

    private final List<Member> all = IntStream.range(0, ENTRIES)
            .mapToObj(each -> new Member("entry-" + each, InetSocketAddress.createUnresolved("10.0.0.1", each)))
            .toList();

    /** When targets were selected by hash alone, 75 of 100 entries were not connected to a given holder. */
    @Test
    public void everyEntryConnectsToEveryHolder() {
        for (Member own : all) {
            List<String> chosen = names(new PeerChoice(own.name()).connectionTargets(otherEntries(own), HOLDERS));
            Set<String> holders = new HashSet<>(HOLDERS);
            holders.remove(own.name());
            assertThat(chosen).containsAll(holders).hasSize(PeerChoice.MAX_CONNECTIONS);
        }
    }

    @Test
    public void connectsToAllEntriesOfASmallFleetWithAbsentOnesLast() {
        OtherEntries otherEntries = new OtherEntries(all.subList(1, 20), all.subList(20, 33));
        List<String> chosen = names(new PeerChoice("entry-0").connectionTargets(otherEntries, HOLDERS));
        assertThat(chosen).hasSize(32);
        assertThat(chosen.subList(0, 19))
                .containsExactlyInAnyOrderElementsOf(
                        otherEntries.live().stream().map(Member::name).toList());
    }

    @Test
    public void loadReportsGoToAFewHoldersAndMostlyToOtherEntries() {
        Set<String> connected = all.stream().map(Member::name).collect(Collectors.toSet());
        List<String> targets = new PeerChoice("entry-1").loadReportTargets(connected, HOLDERS);
        assertThat(targets).hasSize(PeerChoice.MAX_LOAD_REPORT_TARGETS);
        assertThat(targets.stream().filter(HOLDERS::contains).count()).isEqualTo(PeerChoice.MAX_HOLDER_TARGETS);
    }

    @Test
    public void loadReportsGoToAllEntriesOfASmallFleet() {
        Set<String> connected = all.subList(1, 33).stream().map(Member::name).collect(Collectors.toSet());
        assertThat(new PeerChoice("entry-0").loadReportTargets(connected, connected))
                .containsExactlyInAnyOrderElementsOf(connected);
    }

    private OtherEntries otherEntries(Member own) {
        return new OtherEntries(all.stream().filter(each -> !each.equals(own)).toList(), List.of());
    }

    private static List<String> names(List<Member> members) {
        return members.stream().map(Member::name).toList();
    }
}
