package org.streamring.kernel.routing;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;
import static org.streamring.kernel.routing.AttemptResult.FAILED;
import static org.streamring.kernel.routing.AttemptResult.INCONCLUSIVE;
import static org.streamring.kernel.routing.AttemptResult.SERVED;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import org.streamring.model.box.BackendServer;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class RoutingTest {
    private ReplicaTable table;
    private ReplicaSelector selector;

    @BeforeMethod
    public void setUp() {
        table = new ReplicaTable();
        selector = new ReplicaSelector(RoutingStrategy.ADAPTIVE, new SplittableRandom(7));
        List<BackendServer> servers = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            servers.add(server("s" + i, "domain-" + i % 3));
        }
        table.relist(servers);
        servers.forEach(server -> table.connected(server.name(), server.name() + "~1"));
    }

    private static BackendServer server(String name, String domain) {
        return new BackendServer(name, "llm", domain, "127.0.0.1", 1, false);
    }

    private List<Candidate> candidates(long now) {
        return table.candidates("llm", incarnation -> true, now);
    }

    private static Set<String> names(List<Candidate> candidates) {
        Set<String> names = new HashSet<>();
        candidates.forEach(candidate -> names.add(candidate.server().name()));
        return names;
    }

    @Test
    public void aLeavingServerGetsNoNewWorkThoughTheBoxListLags() {
        table.reported("s1", new LoadReport(0, 8, true));
        assertThat(names(candidates(0))).doesNotContain("s1").hasSize(5);
    }

    @Test
    public void aServerThatAnOperatorStoppedGetsNoNewWork() {
        table.setStoppedByOperator(Set.of("s2"));
        assertThat(names(candidates(0))).doesNotContain("s2");
    }

    @Test
    public void aDisconnectedServerGetsNoNewWork() {
        table.disconnected("s3");
        assertThat(names(candidates(0))).doesNotContain("s3");
    }

    private void end(String name, AttemptResult result, long now) {
        table.started(name);
        table.ended(name, result, now);
    }

    private void fail(String name, long now) {
        for (int i = 0; i < 3; i++) {
            end(name, FAILED, now);
        }
    }

    @Test
    public void aFailingServerIsEjectedAndComesBackOneRequestAtATime() {
        fail("s0", 1_000);
        assertThat(names(candidates(1_500))).doesNotContain("s0");
        assertThat(names(candidates(4_000))).contains("s0");
        table.started("s0");
        assertThat(names(candidates(4_000))).as("one trial at a time").doesNotContain("s0");
        table.ended("s0", SERVED, 4_100);
        assertThat(names(candidates(4_100))).contains("s0");
    }

    @Test
    public void aTrialThatNeverStartsDoesNotKeepAServerOut() {
        fail("s0", 1_000);
        selector.choose(candidates(4_000), RouteQuery.FIRST_TRY, Candidate::cost);
        assertThat(names(candidates(4_001))).contains("s0");
    }

    @Test
    public void aServerThatComesBackGetsItsShareSlowly() {
        fail("s0", 1_000);
        end("s0", SERVED, 4_000);
        table.reported("s0", new LoadReport(1, 10, false));
        assertThat(candidate("s0", 4_000).cost()).isCloseTo(0.8, within(0.01));
        assertThat(candidate("s0", 9_000).cost()).isCloseTo(0.5, within(0.01));
        assertThat(candidate("s0", 14_000).cost()).isCloseTo(0.2, within(0.01));
    }

    @Test
    public void requestsThatFailEverywhereEjectAtMostHalf() {
        for (int i = 0; i < 6; i++) {
            fail("s" + i, 1_000);
        }
        assertThat(candidates(1_500)).as("all failing alike are all used").hasSize(6);
        for (int i = 3; i < 6; i++) {
            end("s" + i, SERVED, 1_500);
        }
        assertThat(names(candidates(1_500))).containsExactlyInAnyOrder("s3", "s4", "s5");
    }

    @Test
    public void whatWasCancelledSaysNothingAboutItsServer() {
        for (int i = 0; i < 10; i++) {
            end("s0", INCONCLUSIVE, 1_000);
        }
        assertThat(names(candidates(1_500))).contains("s0");
    }

    @Test
    public void aRequestGoesWhereItsRankHasRoomHoweverFewHaveIt() {
        for (int i = 0; i < 5; i++) {
            table.reported("s" + i, new LoadReport(9, 10, false));
        }
        table.reported("s5", new LoadReport(2, 10, false));
        RouteQuery lowest = new RouteQuery(Set.of(), Set.of(), "", 9, PromptPrefix.NONE);
        for (int i = 0; i < 50; i++) {
            assertThat(selector.choose(candidates(0), lowest, candidate -> 0))
                    .get()
                    .extracting(candidate -> candidate.server().name())
                    .isEqualTo("s5");
        }
    }

    @Test
    public void aRefusedRequestIsOnlySentOnWhereItsRankHasRoom() {
        for (int i = 0; i < 6; i++) {
            table.reported("s" + i, new LoadReport(9, 12, false));
        }
        RouteQuery lowest = new RouteQuery(Set.of("s0"), Set.of(), "", 9, PromptPrefix.NONE);
        RouteQuery highest = new RouteQuery(Set.of("s0"), Set.of(), "", 0, PromptPrefix.NONE);
        assertThat(ReplicaSelector.hasRoomElsewhere(candidates(0), lowest)).isFalse();
        assertThat(ReplicaSelector.hasRoomElsewhere(candidates(0), highest)).isTrue();
        table.reported("s0", new LoadReport(0, 12, false));
        assertThat(ReplicaSelector.hasRoomElsewhere(candidates(0), lowest))
                .as("where it was tried does not count")
                .isFalse();
    }

    private void pace(String name, double millis, long now) {
        for (int i = 0; i < 10; i++) {
            table.paced(name, millis, now);
        }
    }

    @DataProvider
    public Object[][] paces() {
        return new Object[][] {
            {"like the others", 30.0, 1.0},
            {"a little slower, which may be chance", 40.0, 1.0},
            {"twice as slow", 60.0, 2.0},
            {"four times as slow", 120.0, 4.0},
            {"hardly moving", 3_000.0, 8.0},
            {"faster", 10.0, 1.0},
        };
    }

    @Test(dataProvider = "paces")
    public void aSlowServerCountsAsBusier(String name, double millis, double handicap) {
        for (int i = 1; i < 6; i++) {
            pace("s" + i, 30, 0);
        }
        pace("s0", millis, 0);
        assertThat(candidate("s0", 0).handicap()).as(name).isCloseTo(handicap, within(0.01));
        assertThat(candidate("s1", 0).handicap()).as("the others").isEqualTo(1);
    }

    @Test
    public void aServerThatWasSlowIsTriedAgain() {
        for (int i = 1; i < 6; i++) {
            pace("s" + i, 30, 0);
        }
        pace("s0", 120, 0);
        assertThat(candidate("s0", 60_000).handicap()).isEqualTo(1);
    }

    @Test
    public void withTooFewToCompareNobodyIsSlow() {
        pace("s0", 120, 0);
        pace("s1", 30, 0);
        assertThat(candidate("s0", 0).handicap()).isEqualTo(1);
    }

    private String choose(String prompt) {
        RouteQuery query = new RouteQuery(Set.of(), Set.of(), "", 0, PromptPrefix.of(prompt));
        return selector.choose(candidates(0), query, Candidate::cost)
                .orElseThrow()
                .server()
                .name();
    }

    private static String prompt(String beginning, int seed) {
        return beginning.repeat(400) + Integer.toString(seed).repeat(400);
    }

    private void reportAll(int running) {
        for (int i = 0; i < 6; i++) {
            table.reported("s" + i, new LoadReport(running, 100, false));
        }
    }

    @Test
    public void promptsThatBeginAlikeGoToTheSameServer() {
        reportAll(10);
        for (String beginning : List.of("alpha ", "beta ", "gamma ")) {
            String first = choose(prompt(beginning, 1));
            for (int i = 2; i < 30; i++) {
                assertThat(choose(prompt(beginning, i))).isEqualTo(first);
            }
        }
    }

    @Test
    public void aMuchBusierServerDoesNotGetAPromptItHasCached() {
        reportAll(10);
        String first = choose(prompt("alpha ", 1));
        table.reported(first, new LoadReport(90, 100, false));
        assertThat(choose(prompt("alpha ", 2))).isNotEqualTo(first);
    }

    @Test
    public void oneBeginningOfAllPromptsDoesNotFillOneServer() {
        reportAll(0);
        Map<String, Integer> counts = new HashMap<>();
        for (int i = 0; i < 300; i++) {
            String name = choose(prompt("alpha ", i));
            table.started(name);
            counts.merge(name, 1, Integer::sum);
        }
        assertThat(counts).hasSize(6);
        assertThat(counts.values()).allMatch(count -> count < 100);
    }

    @Test
    public void shortPromptsHaveNoMarks() {
        assertThat(PromptPrefix.of("x".repeat(511)).marks()).isEmpty();
        assertThat(PromptPrefix.of("x".repeat(513)).marks()).hasSize(1);
    }

    private Candidate candidate(String name, long now) {
        return candidates(now).stream()
                .filter(candidate -> candidate.server().name().equals(name))
                .findFirst()
                .orElseThrow();
    }

    @Test
    public void whatWasSentSinceTheLastReportCounts() {
        table.reported("s0", new LoadReport(0, 10, false));
        for (int i = 0; i < 5; i++) {
            table.started("s0");
        }
        assertThat(candidate("s0", 0).load()).isEqualTo(0.5);
    }

    @Test
    public void aRetryGoesToAnotherFailureDomainIfOneIsLeft() {
        for (int i = 0; i < 50; i++) {
            Candidate chosen = selector.choose(
                            candidates(0),
                            new RouteQuery(Set.of("s0"), Set.of("domain-0"), "", 0, PromptPrefix.NONE),
                            Candidate::load)
                    .orElseThrow();
            assertThat(chosen.server().failureDomain()).isNotEqualTo("domain-0");
        }
        List<Candidate> onlyOne = candidates(0).stream()
                .filter(candidate -> candidate.server().name().equals("s3"))
                .toList();
        assertThat(selector.choose(
                        onlyOne,
                        new RouteQuery(Set.of("s0"), Set.of("domain-0"), "", 0, PromptPrefix.NONE),
                        Candidate::load))
                .as("the same domain is better than none")
                .isPresent();
    }

    @Test
    public void lateReportsDoNotSendEverythingToOneServer() {
        Map<String, Integer> counts = new HashMap<>();
        for (int i = 0; i < 600; i++) {
            Candidate chosen = selector.choose(candidates(0), RouteQuery.FIRST_TRY, Candidate::load)
                    .orElseThrow();
            table.started(chosen.server().name());
            counts.merge(chosen.server().name(), 1, Integer::sum);
        }
        assertThat(counts.values()).allMatch(count -> count > 80 && count < 120);
    }

    @Test
    public void anIdentifierGoesToTheSameServerFromEveryEntry() {
        String first = selector.choose(
                        candidates(0),
                        new RouteQuery(Set.of(), Set.of(), "acc/key", 0, PromptPrefix.NONE),
                        Candidate::load)
                .orElseThrow()
                .server()
                .name();
        ReplicaSelector other = new ReplicaSelector(RoutingStrategy.ADAPTIVE, new SplittableRandom(99));
        assertThat(other.choose(
                                candidates(0),
                                new RouteQuery(Set.of(), Set.of(), "acc/key", 0, PromptPrefix.NONE),
                                Candidate::load)
                        .orElseThrow()
                        .server()
                        .name())
                .isEqualTo(first);
    }

    @Test
    public void subsetsTakeFailureDomainsInTurnAndReachEveryServer() {
        List<BackendServer> all = new ArrayList<>();
        for (int i = 0; i < 400; i++) {
            all.add(server("r" + i, "domain-" + i % 16));
        }
        Set<BackendServer> reached = new HashSet<>();
        for (int entry = 0; entry < 80; entry++) {
            Set<BackendServer> subset = new SubsetSelector("entry-" + entry, 32).choose(all);
            assertThat(subset).hasSize(32);
            Map<String, Integer> perDomain = new HashMap<>();
            subset.forEach(server -> perDomain.merge(server.failureDomain(), 1, Integer::sum));
            assertThat(perDomain.values()).allMatch(count -> count == 2);
            reached.addAll(subset);
        }
        assertThat(reached).as("reached by some entry").hasSizeGreaterThan(395);
    }
}
