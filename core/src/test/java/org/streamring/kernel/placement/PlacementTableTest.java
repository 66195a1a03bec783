package org.streamring.kernel.placement;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;
import org.streamring.kernel.registry.BackendInstance;
import org.streamring.model.route.ServiceTraits;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class PlacementTableTest {
    private static final ServiceTraits ENGINE = new ServiceTraits("assist", 100, 3, 200_000, 0);
    private static final ServiceTraits PLAIN = new ServiceTraits("portal", 100, 0, 0, 0);

    private final List<BackendInstance> replicas =
            IntStream.range(0, 5).mapToObj(PlacementTableTest::replica).toList();
    private PlacementTable table;

    @BeforeMethod
    public void setUp() {
        table = new PlacementTable(new Random(1));
    }

    @Test
    public void promptsWithACommonPrefixAreSentToTheSameReplicaByAllEntries() {
        PlacementTable other = new PlacementTable(new Random(2));
        PlacementQuery query = engineQuery(shared("part-7", 800, 200));
        assertThat(choose(table, query)).isEqualTo(choose(other, query));
    }

    @Test
    public void aReplicaWithManyUnreadTokensIsNotChosen() {
        PlacementQuery query = engineQuery(shared("part-7", 800, 200));
        String first = choose(table, query);
        start(table, engineQuery(shared("other", 50_000, 50_000)), first);
        assertThat(choose(table, query)).isNotEqualTo(first);
    }

    @Test
    public void aPromptIsSentToTheReplicaThatHasItCached() {
        start(table, engineQuery(shared("review-1", 12_000, 100, 30)), "i-3").ended();
        assertThat(choose(table, engineQuery(shared("review-1", 12_000, 900, 30))))
                .isEqualTo("i-3");
    }

    /**
     * A server was restarted under the same identifier while its registration remained. Prompts were still sent there
     * because of the cache of the earlier process, and had to be processed from the start. The server also remained
     * ejected because of failures of the earlier process.
     */
    @Test
    public void aNewProcessUnderTheSameIdentifierStartsWithNewState() {
        table.listed(replicas.get(3));
        Prompt prompt = shared("review-1", 12_000, 100, 30);
        PlacedPrompt running = start(table, engineQuery(prompt), "i-3");
        ReplicaState earlier = table.state("i-3");
        assertThat(earlier.tokensToRead(prompt)).isLessThan(prompt.tokens());
        table.listed(restarted(replicas.get(3)));

        assertThat(table.state("i-3").running()).isZero();
        assertThat(table.state("i-3").tokensToRead(prompt)).isEqualTo(prompt.tokens());

        running.ended();
        for (int failure = 0; failure < 20; failure++) {
            earlier.failed(10_000);
        }
        assertThat(table.state("i-3").running()).isZero();
        assertThat(table.state("i-3").usable(10_001)).isTrue();
    }

    @Test
    public void anEjectedReplicaIsChosenOnlyForAStreamThatFindsNoOtherOneOfItsVersion() {
        replicas.forEach(replica -> table.state(replica.id()).unreachable(1_000));
        PlacementQuery fresh = engineQuery(shared("part-7", 800, 200));
        PlacementQuery bound = new PlacementQuery(
                fresh.prompt(), 1, 800, 400, "hall", Set.of("i-0", "i-1", "i-2", "i-3"), Optional.of("v1"));
        assertThat(table.choose(fresh, ENGINE, replicas, 1, 1_001)).isEmpty();
        assertThat(table.choose(bound, ENGINE, replicas, 1, 1_001)).contains(replicas.get(4));
        assertThat(table.obstacle(bound, replicas.get(0), 1, 1_001)).isEqualTo("tried");
        assertThat(table.obstacle(bound, replicas.get(4), 1, 1_001)).isEqualTo("ejected");
    }

    @Test
    public void listingTheSameProcessAgainKeepsItsState() {
        table.listed(replicas.get(3));
        start(table, engineQuery(shared("review-1", 12_000, 100, 30)), "i-3");
        table.keepOnly(Set.of());
        table.listed(replicas.get(3));
        assertThat(table.state("i-3").running()).isEqualTo(1);
    }

    private static BackendInstance restarted(BackendInstance before) {
        return new BackendInstance(
                before.id(),
                before.service(),
                before.host(),
                before.port(),
                before.failureDomain(),
                before.slots(),
                true,
                0,
                before.startedMillis() + 1,
                before.softwareVersion());
    }

    @Test
    public void promptsReportedByAnotherEntryCountAsCached() {
        PlacementTable other = new PlacementTable(new Random(2));
        start(other, engineQuery(shared("review-1", 12_000, 100, 30)), "i-3").ended();
        table.applyReport("entry-2", other.report(10_000), id -> ENGINE.memoryTokens(), 10_000);
        assertThat(choose(table, engineQuery(shared("review-1", 12_000, 900, 30))))
                .isEqualTo("i-3");
    }

    @Test
    public void aLongPromptIsSentToAReplicaWithoutStreams() {
        IntStream.of(0, 1, 2, 4).forEach(number -> start(table, engineQuery(shared("q", 100, 100)), "i-" + number)
                .answered(10_050));
        assertThat(choose(table, engineQuery(shared("review", 12_000, 3_000)))).isEqualTo("i-3");
    }

    @Test
    public void aLongPromptIsSentToAReplicaWithoutStreamsOfOtherEntries() {
        PlacementTable other = new PlacementTable(new Random(2));
        IntStream.of(0, 1, 2, 4).forEach(number -> start(other, engineQuery(shared("q", 100, 100)), "i-" + number)
                .answered(10_050));
        table.applyReport("entry-2", other.report(10_000), id -> ENGINE.memoryTokens(), 10_000);
        assertThat(choose(table, engineQuery(shared("review", 12_000, 3_000)))).isEqualTo("i-3");

        table.forget("entry-2");
        IntStream.of(0, 1, 2, 3).forEach(number -> start(table, engineQuery(shared("q", 100, 100)), "i-" + number)
                .answered(10_050));
        assertThat(choose(table, engineQuery(shared("review", 12_000, 3_000)))).isEqualTo("i-4");
    }

    @Test
    public void unreadTokensReportedByAnotherEntryDecreaseOverTime() {
        PlacementTable other = new PlacementTable(new Random(2));
        start(other, engineQuery(shared("r", 20_000, 20_000)), "i-1");
        table.applyReport("entry-2", other.report(10_000), id -> ENGINE.memoryTokens(), 9_000);
        PlacementQuery query = engineQuery(shared("q", 100, 100));
        assertThat(table.started(query, ENGINE, replicas.get(1), 9_100)
                        .forecast()
                        .pendingPromptTokens())
                .isBetween(30_000L, 39_000L);
        assertThat(table.started(query, ENGINE, replicas.get(1), 10_500)
                        .forecast()
                        .pendingPromptTokens())
                .isLessThan(1_000);
    }

    @Test
    public void aLongPromptTriggersAnEarlyReport() {
        List<String> reports = new ArrayList<>();
        table.onLongPrompt(() -> reports.add("now"));
        start(table, engineQuery(shared("q", 100, 100)), "i-1");
        assertThat(reports).isEmpty();
        start(table, engineQuery(shared("r", 9_000, 9_000)), "i-1");
        assertThat(reports).hasSize(1);
    }

    @Test
    public void aShortPromptAvoidsReplicasWithRecentLongPrompts() {
        IntStream.of(0, 1, 3, 4).forEach(number -> start(table, engineQuery(shared("r", 12_000, 9_000)), "i-" + number)
                .ended());
        assertThat(choose(table, engineQuery(shared("q", 100, 100)))).isEqualTo("i-2");
    }

    @Test
    public void aReplicaWithLongEventGapsIsNotChosen() {
        for (BackendInstance replica : replicas) {
            PlacedPrompt stream = start(table, engineQuery(shared("q", 100, 100)), replica.id());
            int gap = replica.id().equals("i-2") ? 20 : 100;
            IntStream.range(0, 60).forEach(event -> stream.answered(10_100 + (long) gap * event));
            stream.ended();
        }
        assertThat(choose(table, engineQuery(shared("r", 12_000, 9_000)))).isEqualTo("i-2");
    }

    @Test
    public void aPlainRequestIsSentToTheLeastLoadedReplica() {
        replicas.stream().skip(1).forEach(replica -> start(table, plainQuery(), replica.id()));
        assertThat(table.choose(plainQuery(), PLAIN, replicas, 1, 0).orElseThrow())
                .isEqualTo(replicas.get(0));
    }

    @Test
    public void replicasAlreadyTriedAreNotChosen() {
        PlacementQuery query =
                new PlacementQuery(Prompt.NONE, 0, 1_000, 300, "hall", Set.of("i-0", "i-1", "i-2", "i-3"));
        assertThat(choose(table, query)).isEqualTo("i-4");
    }

    @Test
    public void anUnreachableReplicaIsEjectedAndThenProbedWithOneRequest() {
        ReplicaState state = table.state("i-0");
        state.unreachable(1_000);
        assertThat(state.usable(1_500)).isFalse();
        assertThat(state.usable(2_000)).isTrue();

        start(table, plainQuery(), "i-0");
        assertThat(state.usable(2_000)).isFalse();
        state.succeeded();
        assertThat(state.usable(2_000)).isTrue();
    }

    @Test
    public void failuresInSuccessionEjectAReplica() {
        ReplicaState state = table.state("i-0");
        state.failed(0);
        state.failed(0);
        assertThat(state.usable(0)).isTrue();
        state.failed(0);
        assertThat(state.usable(0)).isFalse();
    }

    @Test
    public void aReplicaNeverReceivesMoreRequestsThanItsSlots() {
        start(table, plainQuery(), "i-0");
        BackendInstance small = new BackendInstance("i-0", "assist", "10.0.0.1", 1, "hall", 1, true, 0, 0, "v1");
        assertThat(table.choose(plainQuery(), PLAIN, List.of(small), 1, 0)).isEmpty();
    }

    /**
     * One of 33 entries receives all requests of a busy account. When it was limited to twice an even share of the
     * slots of each replica, it refused 246 requests within 6 s while most slots were free.
     */
    @Test
    public void anEntryWithHighLoadUsesSlotsThatOtherEntriesLeaveFree() {
        assertThat(placedWithPeerLoad(0)).isEqualTo(5 * 48);
    }

    @Test
    public void slotsUsedByOtherEntriesAreNotUsedAgain() {
        assertThat(placedWithPeerLoad(40)).isEqualTo(5 * 8);
        assertThat(placedWithPeerLoad(60))
                .as("an even share is always available")
                .isEqualTo(5 * 4);
    }

    /**
     * Short prompts with a common prefix from 33 entries were all sent to the replica that had this prefix in its
     * cache. Of 2,000 prompts, 80 waited for one of its 32 slots for 1 s or more while other replicas were one third
     * full.
     */
    @Test
    public void aReplicaWhoseSlotsAreOccupiedByAllEntriesTogetherIsNotChosen() {
        PlacementQuery query = engineQuery(shared("q", 100, 100));
        String preferred = choose(table, query);
        for (int entry = 0; entry < 33; entry++) {
            PlacementTable other = new PlacementTable(new Random(entry));
            IntStream.range(0, 2).forEach(each -> start(other, query, preferred).answered(10_010));
            table.applyReport("entry-" + entry, other.report(10_000), id -> ENGINE.memoryTokens(), 10_000);
        }
        assertThat(choose(table, query)).isNotEqualTo(preferred);
    }

    @Test
    public void theWaitForASlotIsForecast() {
        PlacementQuery query = engineQuery(shared("q", 100, 100));
        IntStream.range(0, 80).forEach(each -> start(table, query, "i-1").answered(10_010));
        assertThat(start(table, query, "i-1").forecast().firstEventMillis())
                .isGreaterThan(start(table, query, "i-2").forecast().firstEventMillis() + 500);
    }

    /**
     * Returns how many requests can be placed at five replicas of 64 slots, given the load of another entry at each.
     */
    private int placedWithPeerLoad(int runningOfPeer) {
        PlacementTable own = new PlacementTable(new Random(1));
        PlacementTable other = new PlacementTable(new Random(2));
        PlacementQuery query = engineQuery(shared("q", 100, 100));
        replicas.forEach(
                replica -> IntStream.range(0, runningOfPeer).forEach(each -> start(other, query, replica.id())));
        own.applyReport("entry-2", other.report(10_000), id -> ENGINE.memoryTokens(), 10_000);
        int placed = 0;
        Optional<BackendInstance> chosen = own.choose(query, ENGINE, replicas, 33, 10_000);
        while (chosen.isPresent()) {
            start(own, query, chosen.get().id());
            placed++;
            chosen = own.choose(query, ENGINE, replicas, 33, 10_000);
        }
        return placed;
    }

    private String choose(PlacementTable chooser, PlacementQuery query) {
        return chooser.choose(query, ENGINE, replicas, 1, 10_000).orElseThrow().id();
    }

    private PlacedPrompt start(PlacementTable chooser, PlacementQuery query, String replica) {
        BackendInstance instance = replicas.stream()
                .filter(each -> each.id().equals(replica))
                .findFirst()
                .orElseThrow();
        return chooser.started(query, query.prompt().tokens() > 0 ? ENGINE : PLAIN, instance, 10_000);
    }

    private static PlacementQuery engineQuery(Prompt prompt) {
        return new PlacementQuery(prompt, 0, 1_000, 300, "hall", Set.of());
    }

    private static PlacementQuery plainQuery() {
        return new PlacementQuery(Prompt.NONE, 0, 100, 300, "hall", Set.of());
    }

    private static Prompt shared(String part, long sharedTokens, long ownTokens) {
        return shared(part, sharedTokens, ownTokens, 300);
    }

    private static Prompt shared(String part, long sharedTokens, long ownTokens, long answerTokens) {
        List<PromptPart> parts =
                List.of(new PromptPart(part, sharedTokens), new PromptPart("own-" + part + ownTokens, ownTokens));
        return new Prompt(parts, sharedTokens + ownTokens, answerTokens, answerTokens);
    }

    private static BackendInstance replica(int number) {
        return new BackendInstance("i-" + number, "assist", "10.0.0." + number, 8_080, "hall", 64, true, 0, 0, "v1");
    }
}
