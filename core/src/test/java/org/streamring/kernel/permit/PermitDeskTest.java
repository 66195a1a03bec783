package org.streamring.kernel.permit;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.streamring.kernel.routing.RendezvousHash;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class PermitDeskTest {
    private static final String INCARNATION = "i-1@1";
    private static final Set<String> ENTRIES = Set.of("a", "b", "c");
    private static final List<String> ENTRIES_BY_RANK = RendezvousHash.order(INCARNATION, ENTRIES);
    private static final long AFTER_VIEW_PROPAGATION = 20_000;

    private final List<String> sent = new ArrayList<>();
    private long lastNumber;

    @BeforeMethod
    public void setUp() {
        sent.clear();
    }

    @Test
    public void theFirstOwnerIssuesPermitsToItself() {
        PermitCoordinator coordinator = coordinator(ENTRIES_BY_RANK.get(0), ENTRIES);
        announceLimit(coordinator, 10, AFTER_VIEW_PROPAGATION);
        coordinator.wanted(INCARNATION, AFTER_VIEW_PROPAGATION);
        coordinator.wanted(INCARNATION, AFTER_VIEW_PROPAGATION + 100);
        assertThat(coordinator.limits().mayBePlaced(INCARNATION, AFTER_VIEW_PROPAGATION + 100))
                .isTrue();
        assertThat(sent).noneMatch(each -> each.startsWith("ask"));
    }

    @Test
    public void otherEntriesAskTheFirstOwnerAndUseItsAnswer() {
        PermitCoordinator coordinator = coordinator(ENTRIES_BY_RANK.get(2), ENTRIES);
        announceLimit(coordinator, 1, AFTER_VIEW_PROPAGATION);
        coordinator.wanted(INCARNATION, AFTER_VIEW_PROPAGATION);
        assertThat(sent).contains("ask " + ENTRIES_BY_RANK.get(0));
        coordinator.granted(lastNumber, new PermitGrant(1, 0), AFTER_VIEW_PROPAGATION + 10);
        assertThat(coordinator.limits().mayBePlaced(INCARNATION, AFTER_VIEW_PROPAGATION + 10))
                .isTrue();
    }

    @Test
    public void theSecondOwnerIsAskedIfTheFirstDoesNotAnswer() {
        PermitCoordinator coordinator = coordinator(ENTRIES_BY_RANK.get(2), ENTRIES);
        announceLimit(coordinator, 1, AFTER_VIEW_PROPAGATION);
        coordinator.wanted(INCARNATION, AFTER_VIEW_PROPAGATION);
        coordinator.retryTimedOut(AFTER_VIEW_PROPAGATION + PermitCoordinator.TIMEOUT_MILLIS);
        assertThat(sent).contains("ask " + ENTRIES_BY_RANK.get(1));
    }

    @Test
    public void aLateAnswerGrantsNoPermit() {
        PermitCoordinator coordinator = coordinator(ENTRIES_BY_RANK.get(2), ENTRIES);
        announceLimit(coordinator, 1, AFTER_VIEW_PROPAGATION);
        coordinator.wanted(INCARNATION, AFTER_VIEW_PROPAGATION);
        long first = lastNumber;
        coordinator.retryTimedOut(AFTER_VIEW_PROPAGATION + PermitCoordinator.TIMEOUT_MILLIS);
        coordinator.granted(first, new PermitGrant(1, 0), AFTER_VIEW_PROPAGATION + 3_000);
        assertThat(coordinator.limits().mayBePlaced(INCARNATION, AFTER_VIEW_PROPAGATION + 3_000))
                .isFalse();
    }

    @Test
    public void noRequestIsPlacedIfNoOwnerCanBeReached() {
        PermitCoordinator coordinator = coordinator(ENTRIES_BY_RANK.get(2), Set.of());
        announceLimit(coordinator, 1, AFTER_VIEW_PROPAGATION);
        coordinator.wanted(INCARNATION, AFTER_VIEW_PROPAGATION);
        assertThat(sent).isEmpty();
        assertThat(coordinator.limits().mayBePlaced(INCARNATION, AFTER_VIEW_PROPAGATION))
                .isFalse();
        assertThat(coordinator.limits().millisUntilPlaceable(INCARNATION, AFTER_VIEW_PROPAGATION))
                .isEqualTo(LimitedBackends.RETRY_MILLIS);
    }

    @Test
    public void anOwnerRecordsTheLimitInAPermitRequest() {
        PermitCoordinator coordinator = coordinator(ENTRIES_BY_RANK.get(0), ENTRIES);
        coordinator.answerRequest(
                ENTRIES_BY_RANK.get(2),
                new PermitAsk(new LimitNews(INCARNATION, 1, 20, 10), 1),
                AFTER_VIEW_PROPAGATION);
        assertThat(coordinator.limits().isLimited(INCARNATION)).isTrue();
    }

    @Test
    public void ownersReceiveUpdatesOnALimitAndItsEnd() {
        PermitCoordinator coordinator = coordinator(ENTRIES_BY_RANK.get(2), ENTRIES);
        announceLimit(coordinator, 1, AFTER_VIEW_PROPAGATION);
        coordinator.answered(INCARNATION, LimitWord.NONE, AFTER_VIEW_PROPAGATION + 1, AFTER_VIEW_PROPAGATION + 20);
        assertThat(sent)
                .containsExactly(
                        "update " + ENTRIES_BY_RANK.get(0) + " 1.0",
                        "update " + ENTRIES_BY_RANK.get(1) + " 1.0",
                        "update " + ENTRIES_BY_RANK.get(0) + " Infinity",
                        "update " + ENTRIES_BY_RANK.get(1) + " Infinity");
    }

    @Test
    public void anOutdatedUpdateDoesNotEndALimit() {
        PermitCoordinator coordinator = coordinator(ENTRIES_BY_RANK.get(0), ENTRIES);
        announceLimit(coordinator, 1, AFTER_VIEW_PROPAGATION);
        coordinator.applyUpdate(
                ENTRIES_BY_RANK.get(2),
                new LimitNews(INCARNATION, AnnouncedLimit.UNLIMITED, 500, 400),
                AFTER_VIEW_PROPAGATION + 100);
        coordinator.wanted(INCARNATION, AFTER_VIEW_PROPAGATION + 100);
        assertThat(coordinator.limits().mayBePlaced(INCARNATION, AFTER_VIEW_PROPAGATION + 100))
                .isFalse();
    }

    private PermitCoordinator coordinator(String ownName, Set<String> connected) {
        PermitCoordinator coordinator = new PermitCoordinator(ownName, new RecordingLink(), new NoOpLimitEvents());
        coordinator.entries(ENTRIES, connected, 0);
        coordinator.entries(ENTRIES, connected, AFTER_VIEW_PROPAGATION);
        return coordinator;
    }

    private static void announceLimit(PermitCoordinator coordinator, double perSecond, long nowMillis) {
        coordinator.answered(INCARNATION, LimitWord.named(perSecond), nowMillis - 50, nowMillis);
    }

    private final class RecordingLink implements PermitLink {
        @Override
        public void sendRequest(String entry, long number, PermitAsk ask) {
            lastNumber = number;
            sent.add("ask " + entry);
        }

        @Override
        public void sendUpdate(String entry, LimitNews update) {
            sent.add("update " + entry + " " + update.perSecond());
        }
    }
}
