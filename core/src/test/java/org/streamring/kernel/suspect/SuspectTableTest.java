package org.streamring.kernel.suspect;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.IntStream;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class SuspectTableTest {
    private static final SuspectLimits LIMITS = new SuspectLimits(
            new BlockLimits(3, 5, 60_000, 60_000),
            new BlockLimits(3, 7, 20_000, 2_000),
            480_000,
            86_400_000,
            600_000,
            30_000,
            4,
            8);
    private static final SuspectId HOTEL = SuspectId.account("hotel");
    private static final SuspectId ID = SuspectId.request("request");
    private static final RequestTraits REQUEST = new RequestTraits(ID, List.of(), HOTEL);

    private final List<String> events = new ArrayList<>();
    private boolean triesHere;
    private SuspectTable table;
    private SuspectTable otherEntry;

    @BeforeMethod
    public void setUp() {
        events.clear();
        triesHere = true;
        table = new SuspectTable(LIMITS, suspect -> triesHere, new EventRecorder());
        otherEntry = new SuspectTable(LIMITS, suspect -> false, new EventRecorder());
    }

    @Test
    public void aRequestIsBlockedAfterThreeServersEndedUnderIt() {
        crash(table, "s-1@1", 0);
        crash(table, "s-2@1", 100);
        assertThat(table.decide(REQUEST, 200).maySend()).isTrue();
        crash(table, "s-1@2", 200);
        assertThat(table.decide(REQUEST, 201)).isEqualTo(new SuspectDecision(false, Optional.of(ID), 3, 59_999));
        assertThat(events).containsExactly("blocked request 3");
    }

    @Test
    public void anUnconfirmedCrashCountsUntilItIsRefuted() {
        crash(table, "s-1@1", 0);
        crash(table, "s-2@1", 100);
        table.brokeOff(table.sent(REQUEST, "s-3@1", 200), false, 200);
        assertThat(table.decide(REQUEST, 201).maySend()).isFalse();
        table.refuted("s-3@1");
        assertThat(table.decide(REQUEST, 202).maySend()).isTrue();
        assertThat(table.report().crashes()).containsOnlyKeys("s-1@1", "s-2@1");
    }

    @Test
    public void serversThatEndInTheSameRoundCountOnce() {
        List<SentAttempt> attempts = IntStream.range(0, 4)
                .mapToObj(server -> table.sent(REQUEST, "s-" + server + "@1", 0))
                .toList();
        attempts.forEach(attempt -> table.brokeOff(attempt, false, 0));
        assertThat(table.decide(REQUEST, 1).maySend()).isTrue();
        crash(table, "s-5@1", 1_000);
        assertThat(table.decide(REQUEST, 1_001).maySend())
                .as("one more server ended in a later round")
                .isFalse();
    }

    @Test
    public void aCompleteAnswerClearsARequestAndProtectsItForALimitedTime() {
        crash(table, "s-1@1", 0);
        crash(table, "s-2@1", 100);
        answer(table, REQUEST, 200);
        for (int server = 3; server < 9; server++) {
            crash(table, "s-" + server + "@1", 300);
        }
        assertThat(table.decide(REQUEST, 400).maySend()).isTrue();
        for (int server = 1; server <= 3; server++) {
            crash(table, "s-" + server + "@2", 200 + LIMITS.answerMillis());
        }
        assertThat(table.decide(REQUEST, 31_000).maySend()).isFalse();
    }

    @Test
    public void crashesObservedByDifferentEntriesAddUp() {
        crash(table, "s-1@1", 0);
        otherEntry.merge(table.report(), 50);
        crash(otherEntry, "s-2@1", 100);
        table.merge(otherEntry.report(), 150);
        crash(table, "s-3@1", 200);
        otherEntry.merge(table.report(), 250);
        assertThat(otherEntry.decide(REQUEST, 300).maySend()).isFalse();
        otherEntry.merge(table.report(), 40_000);
        assertThat(otherEntry.decide(REQUEST, 40_000).retryAfterMillis())
                .as("report received twice")
                .isEqualTo(20_250);
    }

    @Test
    public void aCompleteAnswerAtAnyEntryEndsTheBlockAtAllEntries() {
        for (int server = 1; server <= 3; server++) {
            crash(table, "s-" + server + "@1", 0);
        }
        otherEntry.merge(table.report(), 10);
        answer(otherEntry, REQUEST, 20);
        assertThat(otherEntry.hasUnsent()).isTrue();
        table.merge(otherEntry.report(), 30);
        assertThat(table.decide(REQUEST, 40).maySend()).isTrue();
        assertThat(events).contains("unblocked request");
    }

    @Test
    public void aBlockEndsWithASingleTrialAtOneEntryAndDoublesAfterAnotherCrash() {
        for (int server = 1; server <= 3; server++) {
            crash(table, "s-" + server + "@1", 0);
        }
        otherEntry.merge(table.report(), 0);
        assertThat(otherEntry.decide(REQUEST, 60_000).maySend())
                .as("tried at another entry")
                .isFalse();
        assertThat(table.decide(REQUEST, 60_000).maySend()).isTrue();
        SentAttempt trial = table.sent(REQUEST, "s-4@1", 60_000);
        assertThat(trial.trial()).isTrue();
        assertThat(table.decide(REQUEST, 60_001).maySend()).as("one at a time").isFalse();
        table.ended(trial, true);
        table.brokeOff(trial, false, 60_100);
        assertThat(table.decide(REQUEST, 60_200).retryAfterMillis()).isEqualTo(119_900);
    }

    @Test
    public void aRestartedEntryContinuesToReportTheObservationsOfItsBox() {
        crash(table, "s-1@1", 0);
        SuspectTable restarted = new SuspectTable(LIMITS, suspect -> true, new EventRecorder());
        restarted.resume(table.report(), 0);
        assertThat(restarted.hasChanged()).isFalse();
        crash(restarted, "s-2@1", 100);
        assertThat(restarted.report().crashes()).containsOnlyKeys("s-1@1", "s-2@1");
    }

    @Test
    public void oldCrashesExpire() {
        for (int server = 1; server <= 3; server++) {
            crash(table, "s-" + server + "@1", 0);
        }
        table.expire(LIMITS.keptMillis() - 1);
        assertThat(table.suspects()).isEqualTo(1);
        table.expire(LIMITS.keptMillis());
        assertThat(table.suspects()).isZero();
        assertThat(table.blocked(SuspectId.Kind.REQUEST)).isZero();
        assertThat(table.report().crashes()).isEmpty();
    }

    @Test
    public void suspectsWithTheFewestCrashesAreRemovedAboveTheMaximum() {
        for (int server = 1; server <= 3; server++) {
            crash(table, "s-" + server + "@1", 0);
        }
        for (int number = 0; number < 20; number++) {
            table.brokeOff(table.sent(other(number), "s-9@1", number), false, number);
        }
        assertThat(table.suspects()).isEqualTo(LIMITS.mostSuspects());
        assertThat(table.decide(REQUEST, 100).maySend()).isFalse();
    }

    @Test
    public void answeredRequestsAreNoLongerReportedAsSuspects() {
        crash(table, "s-1@1", 0);
        answer(table, REQUEST, 10);
        assertThat(table.report().crashes().get("s-1@1")).isEmpty();
    }

    @Test
    public void reportsAreBoundedAndKeepEarlierSuspects() {
        for (int server = 1; server <= 3; server++) {
            crash(table, "s-" + server + "@1", 0);
        }
        for (int number = 0; number < 100; number++) {
            crash(table, other(number), "t-" + number + "@1", number);
        }
        assertThat(table.report().crashes()).hasSize(48).containsKeys("s-1@1", "s-2@1", "s-3@1", "t-99@1");
    }

    private static RequestTraits other(int number) {
        return new RequestTraits(SuspectId.request("other-" + number), List.of(), HOTEL);
    }

    private static void crash(SuspectTable entry, String server, long nowMillis) {
        crash(entry, REQUEST, server, nowMillis);
    }

    private static void crash(SuspectTable entry, RequestTraits request, String server, long nowMillis) {
        SentAttempt attempt = entry.sent(request, server, nowMillis);
        entry.ended(attempt, true);
        entry.brokeOff(attempt, false, nowMillis);
        entry.confirmed(attempt.server(), nowMillis);
    }

    private static void answer(SuspectTable entry, RequestTraits request, long nowMillis) {
        SentAttempt attempt = entry.sent(request, "sound@1", nowMillis);
        entry.ended(attempt, true);
        entry.answered(attempt, nowMillis);
    }

    private final class EventRecorder implements SuspectEvents {
        @Override
        public void blocked(SuspectId request, Set<String> servers, Set<SuspectId> companions) {
            events.add("blocked " + request.text() + " " + servers.size());
        }

        @Override
        public void unblocked(SuspectId request) {
            events.add("unblocked " + request.text());
        }
    }
}
