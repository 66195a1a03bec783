package org.streamring.kernel.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import org.testng.annotations.Test;

public class ReplicaSelectorTest extends RoutingTestBase {
    @Test
    public void aRequestGoesToTheOnlyReplicaWithCapacityForItsRank() {
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
    public void aRefusedRequestIsOnlyRetriedAtAReplicaWithCapacityForItsRank() {
        for (int i = 0; i < 6; i++) {
            table.reported("s" + i, new LoadReport(9, 12, false));
        }
        RouteQuery lowest = new RouteQuery(Set.of("s0"), Set.of(), "", 9, PromptPrefix.NONE);
        RouteQuery highest = new RouteQuery(Set.of("s0"), Set.of(), "", 0, PromptPrefix.NONE);
        assertThat(ReplicaSelector.hasRoomElsewhere(candidates(0), lowest)).isFalse();
        assertThat(ReplicaSelector.hasRoomElsewhere(candidates(0), highest)).isTrue();
        table.reported("s0", new LoadReport(0, 12, false));
        assertThat(ReplicaSelector.hasRoomElsewhere(candidates(0), lowest))
                .as("a replica that was already tried does not count")
                .isFalse();
    }

    private String choose(String prompt) {
        RouteQuery query = new RouteQuery(Set.of(), Set.of(), "", 0, PromptPrefix.of(prompt));
        return selector.choose(candidates(0), query, Candidate::cost)
                .orElseThrow()
                .server()
                .name();
    }

    private static String prompt(String prefix, int seed) {
        return prefix.repeat(400) + Integer.toString(seed).repeat(400);
    }

    private void reportAll(int running) {
        for (int i = 0; i < 6; i++) {
            table.reported("s" + i, new LoadReport(running, 100, false));
        }
    }

    @Test
    public void promptsWithTheSamePrefixGoToTheSameServer() {
        reportAll(10);
        for (String prefix : List.of("alpha ", "beta ", "gamma ")) {
            String first = choose(prompt(prefix, 1));
            for (int i = 2; i < 30; i++) {
                assertThat(choose(prompt(prefix, i))).isEqualTo(first);
            }
        }
    }

    @Test
    public void aMuchBusierServerIsNotChosenThoughItHasThePromptCached() {
        reportAll(10);
        String first = choose(prompt("alpha ", 1));
        table.reported(first, new LoadReport(90, 100, false));
        assertThat(choose(prompt("alpha ", 2))).isNotEqualTo(first);
    }

    @Test
    public void aPrefixSharedByAllPromptsDoesNotOverloadOneServer() {
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
    public void aRetryGoesToAnotherFailureDomainIfOneIsAvailable() {
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
    public void outdatedReportsDoNotSendAllRequestsToOneServer() {
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
    public void requestsWithTheSameIdentifierGoToTheSameServerFromEveryEntry() {
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
}
