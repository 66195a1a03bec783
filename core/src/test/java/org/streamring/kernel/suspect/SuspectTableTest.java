package org.streamring.kernel.suspect;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class SuspectTableTest {
    private static final SuspectLimits LIMITS = new SuspectLimits(3, 60_000, 480_000, 600_000, 30_000, 4, 8);
    private static final SuspectId REQUEST = SuspectId.request("request");

    private final List<String> events = new ArrayList<>();
    private boolean triesHere;
    private SuspectTable table;
    private SuspectTable otherEntry;

    @BeforeMethod
    public void setUp() {
        events.clear();
        triesHere = true;
        table = new SuspectTable(LIMITS, request -> triesHere, new EventRecorder());
        otherEntry = new SuspectTable(LIMITS, request -> false, new EventRecorder());
    }

    @Test
    public void aRequestIsBlockedAfterThreeServersEndedUnderIt() {
        crash(table, "s-1@1", 0);
        crash(table, "s-2@1", 100);
        assertThat(table.decide(REQUEST, 200).maySend()).isTrue();
        crash(table, "s-1@2", 200);
        assertThat(table.decide(REQUEST, 201)).isEqualTo(new SuspectDecision(false, 3, 59_999));
        assertThat(events).containsExactly("blocked request 3");
    }

    @Test
    public void anUnconfirmedCrashCountsUntilItIsRefuted() {
        crash(table, "s-1@1", 0);
        crash(table, "s-2@1", 100);
        table.brokeOff(REQUEST, "s-3@1", table.sent(REQUEST), 200);
        assertThat(table.decide(REQUEST, 201).maySend()).isFalse();
        table.refuted("s-3@1");
        assertThat(table.decide(REQUEST, 202).maySend()).isTrue();
        assertThat(table.report().crashes()).containsOnlyKeys("s-1@1", "s-2@1");
    }

    @Test
    public void serversThatEndInTheSameRoundCountOnce() {
        int round = table.sent(REQUEST);
        for (int server = 0; server < 4; server++) {
            table.brokeOff(REQUEST, "s-" + server + "@1", round, 0);
        }
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
        table.answered(REQUEST, 200);
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
        otherEntry.answered(REQUEST, 20);
        assertThat(otherEntry.hasUrgentChanges()).isTrue();
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
        int round = table.sent(REQUEST);
        assertThat(table.decide(REQUEST, 60_001).maySend()).as("one at a time").isFalse();
        table.ended(REQUEST);
        table.brokeOff(REQUEST, "s-4@1", round, 60_100);
        assertThat(table.decide(REQUEST, 60_200).retryAfterMillis()).isEqualTo(119_900);
    }

    @Test
    public void aRestartedEntryContinuesToReportTheObservationsOfItsBox() {
        crash(table, "s-1@1", 0);
        SuspectTable restarted = new SuspectTable(LIMITS, request -> true, new EventRecorder());
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
        assertThat(table.blocked()).isZero();
        assertThat(table.report().crashes()).isEmpty();
    }

    @Test
    public void suspectsWithTheFewestCrashesAreRemovedAboveTheMaximum() {
        for (int server = 1; server <= 3; server++) {
            crash(table, "s-" + server + "@1", 0);
        }
        for (int number = 0; number < 20; number++) {
            table.brokeOff(SuspectId.request("other-" + number), "s-9@1", 1, number);
        }
        assertThat(table.suspects()).isEqualTo(LIMITS.mostRequests());
        assertThat(table.decide(REQUEST, 100).maySend()).isFalse();
    }

    @Test
    public void answeredRequestsAreNoLongerReportedAsSuspects() {
        crash(table, "s-1@1", 0);
        table.answered(REQUEST, 10);
        assertThat(table.report().crashes().get("s-1@1")).isEmpty();
    }

    @Test
    public void reportsAreBoundedAndKeepEarlierSuspects() {
        for (int server = 1; server <= 3; server++) {
            crash(table, "s-" + server + "@1", 0);
        }
        for (int number = 0; number < 100; number++) {
            String server = "t-" + number + "@1";
            table.brokeOff(SuspectId.request("other-" + number), server, 1, number);
            table.confirmed(server, number);
        }
        assertThat(table.report().crashes()).hasSize(18).containsKeys("s-2@1", "s-3@1", "t-99@1");
    }

    private static void crash(SuspectTable entry, String server, long nowMillis) {
        int round = entry.sent(REQUEST);
        entry.ended(REQUEST);
        entry.brokeOff(REQUEST, server, round, nowMillis);
        entry.confirmed(server, nowMillis);
    }

    private final class EventRecorder implements SuspectEvents {
        @Override
        public void blocked(SuspectId request, Set<String> servers) {
            events.add("blocked " + request.text() + " " + servers.size());
        }

        @Override
        public void unblocked(SuspectId request) {
            events.add("unblocked " + request.text());
        }
    }
}
