package org.streamring.kernel.suspect;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.IntStream;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests how parts of prompts are blocked; {@link SuspectTableTest} tests requests. */
public class PromptPartSuspectsTest {
    private static final SuspectId HOTEL = SuspectId.account("hotel");
    private static final SuspectId MOTEL = SuspectId.account("motel");
    private static final SuspectId FIRST = SuspectId.promptPart("first");
    private static final SuspectId SECOND = SuspectId.promptPart("second");
    private static final SuspectId CRASHING = SuspectId.promptPart("crashing");
    private static final AtomicInteger PROMPTS = new AtomicInteger();
    private static final SuspectEvents NO_EVENTS = new SuspectEvents() {
        @Override
        public void blocked(SuspectId suspect, Set<String> servers, Set<SuspectId> companions) {
            // decisions are tested, not their events
        }

        @Override
        public void unblocked(SuspectId suspect) {
            // decisions are tested, not their events
        }
    };

    private SuspectTable table;
    private SuspectTable otherEntry;

    @BeforeMethod
    public void setUp() {
        table = new SuspectTable(SuspectLimits.DEFAULT, suspect -> true, NO_EVENTS);
        otherEntry = new SuspectTable(SuspectLimits.DEFAULT, suspect -> false, NO_EVENTS);
    }

    @Test
    public void aPartIsBlockedAfterThreeServersEndedUnderDifferentRequestsWithIt() {
        crashThrice(table, FIRST, CRASHING);
        answer(table, prompt(HOTEL, FIRST), 250);
        assertThat(table.decide(prompt(HOTEL, FIRST, CRASHING), 300))
                .isEqualTo(new SuspectDecision(false, Optional.of(CRASHING), 3, 19_900));
        assertThat(table.decide(prompt(HOTEL, SECOND, CRASHING), 300).maySend()).isFalse();
        assertThat(table.decide(prompt(HOTEL, FIRST), 300).maySend()).isTrue();
    }

    @Test
    public void anAnswerThatGoesOnClearsThePartsOfItsPrompt() {
        crash(table, prompt(HOTEL, FIRST, CRASHING), "s-1@1", 0);
        SentAttempt sound = table.sent(prompt(HOTEL, FIRST), "s-9@1", 10);
        table.begun(sound);
        table.continued(sound, 20);
        crash(table, prompt(HOTEL, FIRST, CRASHING), "s-2@1", 100);
        crash(table, prompt(HOTEL, FIRST, CRASHING), "s-3@1", 200);
        assertThat(table.decide(prompt(HOTEL, FIRST), 300).maySend()).isTrue();
        assertThat(table.decide(prompt(HOTEL, CRASHING), 300).maySend()).isFalse();
    }

    @Test
    public void anAnswerThatBeganBeforeACrashDoesNotClearItsPartsOfThatCrash() {
        SentAttempt before = table.sent(prompt(HOTEL, CRASHING), "s-9@1", 0);
        table.begun(before);
        crashThrice(table, CRASHING);
        table.continued(before, 300);
        assertThat(table.decide(prompt(HOTEL, CRASHING), 400).maySend()).isFalse();
    }

    @Test
    public void anAttemptWhoseAnswerHadGoneOnDoesNotMakeItsPartsSuspects() {
        for (int server = 1; server <= 3; server++) {
            SentAttempt attempt = table.sent(prompt(HOTEL, FIRST), "s-" + server + "@1", server);
            table.ended(attempt, true);
            table.brokeOff(attempt, true, server);
        }
        assertThat(table.decide(prompt(HOTEL, FIRST), 100).maySend()).isTrue();
    }

    @Test
    public void ofTwoPartsThatAlwaysCameTogetherOnlyRequestsWithBothAreBlocked() {
        crashThrice(table, FIRST, CRASHING);
        assertThat(table.decide(prompt(HOTEL, FIRST, CRASHING), 300).maySend()).isFalse();
        assertThat(table.decide(prompt(HOTEL, FIRST), 300).maySend()).isTrue();
        assertThat(table.decide(prompt(HOTEL, CRASHING), 300).maySend()).isTrue();
    }

    @Test
    public void aRequestThatLacksOneOfTwoPartsUnderWhichTheSameServersEndedRuns() {
        for (int server = 1; server <= 3; server++) {
            String incarnation = "s-" + server + "@1";
            SentAttempt sound = table.sent(prompt(HOTEL, FIRST, SECOND), incarnation, server);
            SentAttempt crashing = table.sent(prompt(HOTEL, FIRST, CRASHING), incarnation, server);
            table.brokeOff(crashing, false, server);
            table.brokeOff(sound, false, server);
            table.ended(crashing, true);
            table.ended(sound, true);
            table.confirmed(incarnation, server);
        }
        assertThat(table.decide(prompt(HOTEL, FIRST), 10).maySend()).isTrue();
        assertThat(table.decide(prompt(HOTEL, FIRST, SECOND), 10).maySend()).isTrue();
        crash(table, prompt(HOTEL, FIRST, CRASHING), "s-4@1", 20);
        assertThat(table.decide(prompt(HOTEL, FIRST, CRASHING), 30).maySend()).isFalse();
    }

    /** Guards against refusing sound requests for crashes that two other suspects together account for. */
    @Test
    public void aPartOfWhichTwoCrashingPartsAccountForTheCrashesIsSent() {
        crash(table, prompt(HOTEL, SECOND), "s-0@1", 0);
        crash(table, prompt(HOTEL, FIRST, SECOND), "s-1@1", 100);
        crash(table, prompt(HOTEL, FIRST, SECOND), "s-2@1", 200);
        crash(table, prompt(HOTEL, FIRST, CRASHING), "s-3@1", 300);
        crash(table, prompt(HOTEL, CRASHING), "s-4@1", 400);
        crash(table, prompt(HOTEL, CRASHING), "s-5@1", 500);

        assertThat(table.decide(prompt(HOTEL, FIRST), 600).maySend()).isTrue();
        assertThat(table.decide(prompt(HOTEL, FIRST, SECOND), 600).maySend()).isFalse();
        assertThat(table.decide(prompt(HOTEL, FIRST, CRASHING), 600).maySend()).isFalse();
    }

    @Test
    public void aCrashUnderOneOfTwoPartsTellsWhichOfThemIsToBeBlocked() {
        crashThrice(table, FIRST, CRASHING);
        crash(table, prompt(HOTEL, CRASHING), "s-4@1", 300);
        assertThat(table.decide(prompt(HOTEL, CRASHING), 400).maySend()).isFalse();
        assertThat(table.decide(prompt(HOTEL, SECOND, CRASHING), 400).maySend()).isFalse();
        assertThat(table.decide(prompt(HOTEL, FIRST), 400).maySend()).isTrue();
    }

    @Test
    public void partsThatAlwaysCameTogetherAreAllBlockedAfterTheLastCrash() {
        List<SuspectId> parts = IntStream.range(0, 6)
                .mapToObj(part -> SuspectId.promptPart("together-" + part))
                .toList();
        SuspectTable large = new SuspectTable(SuspectLimits.DEFAULT, suspect -> false, NO_EVENTS);
        int crashes = 0;
        for (int missing = 5; missing >= 0; missing--) {
            RequestTraits request = prompt(HOTEL, parts.subList(0, missing + 1).toArray(SuspectId[]::new));
            for (int i = 0; i < 4 && large.decide(request, crashes).maySend(); i++) {
                crash(large, request, "s-" + crashes++ + "@1", crashes);
            }
        }
        assertThat(crashes).isLessThanOrEqualTo(8);
    }

    @Test
    public void aPartUnderWhichServersEndedForOneAccountIsBlockedForThisAccountUntilAnotherOneTriedIt() {
        crashThrice(table, CRASHING);
        assertThat(table.decide(prompt(HOTEL, CRASHING), 300).maySend()).isFalse();
        assertThat(table.decide(prompt(MOTEL, CRASHING), 300).maySend()).isTrue();
        crash(table, prompt(MOTEL, CRASHING), "s-4@1", 300);
        assertThat(table.decide(prompt(MOTEL, CRASHING), 400).maySend()).isFalse();
        assertThat(table.decide(prompt(SuspectId.account("castle"), CRASHING), 400)
                        .maySend())
                .isFalse();
    }

    @Test
    public void aPartThatWasAnsweredBeforeItsCrashesIsTriedAgainSooner() {
        answer(table, prompt(HOTEL, CRASHING), 0);
        crashThrice(table, CRASHING);
        assertThat(table.decide(prompt(HOTEL, CRASHING), 201).retryAfterMillis())
                .isEqualTo(1_999);
    }

    @Test
    public void aPartIsNotTriedAgainAfterTheLastCrash() {
        crashThrice(table, CRASHING);
        long now = 200;
        int trials = 0;
        for (int hour = 0; hour < 24; hour++) {
            now += 3_599_000;
            table.expire(now);
            if (table.decide(prompt(HOTEL, CRASHING), now).maySend()) {
                SentAttempt trial = table.sent(prompt(HOTEL, CRASHING), "t-" + trials++ + "@1", now);
                table.ended(trial, true);
                table.brokeOff(trial, false, now);
            }
        }
        assertThat(trials).isLessThanOrEqualTo(4);
    }

    @Test
    public void aTrialThatBroughtNoAnswerIsRepeatedOnlyAfterAnotherBlock() {
        crashThrice(table, CRASHING);
        SentAttempt trial = table.sent(prompt(HOTEL, CRASHING), "s-4@1", 20_200);
        table.ended(trial, true);
        assertThat(table.decide(prompt(HOTEL, CRASHING), 20_300).retryAfterMillis())
                .isEqualTo(39_900);
        SentAttempt unsent = table.sent(prompt(HOTEL, CRASHING), "s-4@1", 60_300);
        table.ended(unsent, false);
        assertThat(table.decide(prompt(HOTEL, CRASHING), 60_400).maySend()).isTrue();
    }

    @Test
    public void aServerThatCrashesAgainBeforeItsNewStartIsKnownCountsAgain() {
        for (int crash = 0; crash < 3; crash++) {
            crash(table, prompt(HOTEL, CRASHING), "s-1@1", crash);
        }
        assertThat(table.decide(prompt(HOTEL, CRASHING), 100).maySend()).isFalse();
        assertThat(table.report().crashes()).containsOnlyKeys("s-1@1", "s-1@1+1", "s-1@1+2");
    }

    @Test
    public void aCrashThatAnotherEntryConfirmedIsNotTakenBack() {
        crashThrice(otherEntry, CRASHING);
        SentAttempt broken = table.sent(prompt(HOTEL, CRASHING), "s-1@1", 0);
        table.brokeOff(broken, false, 0);
        table.merge(otherEntry.takeUnsent(), 300);
        table.refuted("s-1@1");
        assertThat(table.decide(prompt(HOTEL, CRASHING), 400).maySend()).isFalse();
    }

    /** The row that was written before would block the part again at all entries that start. */
    @Test
    public void aPartThatWasClearedHereOrElsewhereIsTakenOutOfTheReport() {
        crashThrice(table, FIRST, CRASHING);
        otherEntry.merge(table.takeUnsent(), 300);
        table.report();
        answer(otherEntry, prompt(HOTEL, FIRST), 400);
        table.merge(otherEntry.takeUnsent(), 410);
        assertThat(table.hasChanged()).isTrue();
        SuspectTable started = new SuspectTable(SuspectLimits.DEFAULT, suspect -> true, NO_EVENTS);
        started.resume(table.report(), 500);
        assertThat(started.decide(prompt(HOTEL, FIRST), 500).maySend()).isTrue();
        assertThat(started.decide(prompt(HOTEL, FIRST, CRASHING), 500).maySend())
                .isFalse();
    }

    @Test
    public void onlyNewObservationsAreSentAndABlockedPartIsToldToAnEntryThatConnects() {
        crashThrice(table, CRASHING);
        assertThat(table.takeUnsent().crashes()).hasSize(3);
        assertThat(table.hasUnsent()).isFalse();
        otherEntry.merge(table.blockedSuspects(), 300);
        assertThat(otherEntry.decide(prompt(HOTEL, CRASHING), 300).maySend()).isFalse();
        assertThat(otherEntry.decide(prompt(MOTEL, CRASHING), 300).maySend()).isTrue();
    }

    /** Repeated, as the order of equally suspected parts in the table varies. */
    @Test(invocationCount = 10)
    public void inventedPartsDoNotDisplaceACrashingPart() {
        for (int crash = 0; crash < 3; crash++) {
            String server = "s-" + crash + "@1";
            List<SentAttempt> attempts = new ArrayList<>();
            for (int request = 0; request < 63; request++) {
                attempts.add(table.sent(prompt(MOTEL, inventedParts()), server, crash));
            }
            attempts.add(table.sent(prompt(HOTEL, FIRST, CRASHING), server, crash));
            for (SentAttempt attempt : attempts) {
                table.ended(attempt, true);
                table.brokeOff(attempt, false, crash);
            }
            table.confirmed(server, crash);
        }
        assertThat(table.decide(prompt(HOTEL, FIRST, CRASHING), 100).maySend()).isFalse();
        assertThat(table.suspects()).isLessThanOrEqualTo(SuspectLimits.DEFAULT.mostSuspects());
    }

    private static SuspectId[] inventedParts() {
        return IntStream.range(0, 512)
                .mapToObj(part -> SuspectId.promptPart("invented-" + PROMPTS.incrementAndGet()))
                .toArray(SuspectId[]::new);
    }

    @Test
    public void twoCrashingPartsOfDifferentPromptsAreBothBlocked() {
        SuspectTable large = new SuspectTable(SuspectLimits.DEFAULT, suspect -> false, NO_EVENTS);
        for (int crash = 0; crash < 3; crash++) {
            crash(large, prompt(HOTEL, FIRST, CRASHING), "s-" + crash + "@1", crash);
            crash(large, prompt(HOTEL, SECOND), "t-" + crash + "@1", crash);
        }
        answer(large, prompt(HOTEL, FIRST), 50);
        assertThat(large.decide(prompt(HOTEL, FIRST, CRASHING), 100).maySend()).isFalse();
        assertThat(large.decide(prompt(HOTEL, FIRST, SECOND), 100).maySend()).isFalse();
        assertThat(large.decide(prompt(HOTEL, FIRST), 100).maySend()).isTrue();
    }

    private static void crashThrice(SuspectTable entry, SuspectId... parts) {
        for (int server = 1; server <= 3; server++) {
            crash(entry, prompt(HOTEL, parts), "s-" + server + "@1", 100L * (server - 1));
        }
    }

    /** Returns a request that differs from all others. */
    private static RequestTraits prompt(SuspectId account, SuspectId... parts) {
        return new RequestTraits(SuspectId.request("prompt-" + PROMPTS.incrementAndGet()), List.of(parts), account);
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
}
