package org.streamring.kernel.prepaid;

import static org.assertj.core.api.Assertions.assertThat;

import org.streamring.kernel.prepaid.AccountKnowledge.KnownGrant;
import org.streamring.kernel.prepaid.AccountKnowledge.KnownRow;
import org.streamring.kernel.store.StorePosition;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class AccountKnowledgeTest {
    private static final String ACCOUNT = "hotel";
    private static final PrepaidRow EMPTY = PrepaidRow.EMPTY.withLimit(100_000, 1);
    private static final PrepaidRow COPIED =
            EMPTY.withHolding("a", new Holding(1_000, 0)).basedOn(at(1, 40));

    private AccountKnowledge knowledge;

    @BeforeMethod
    public void setUp() {
        knowledge = new AccountKnowledge();
    }

    @Test
    public void aRowOfTheCopyIsReplacedByTheNewerRowKnown() {
        PrepaidRow newer = COPIED.withClosed("a", 700).basedOn(at(1, 50));
        knowledge.addRow(ACCOUNT, new KnownRow(at(1, 60), newer));
        assertThat(knowledge.complete(ACCOUNT, COPIED, at(2, 50))).isEqualTo(newer);
    }

    @Test
    public void aRowWrittenOnTopOfTheKnownOneIsNotChanged() {
        knowledge.addRow(ACCOUNT, new KnownRow(at(1, 60), COPIED));
        PrepaidRow later = COPIED.withClosed("a", 700).basedOn(at(2, 50));
        assertThat(knowledge.complete(ACCOUNT, later, at(2, 51))).isEqualTo(later);
    }

    @Test
    public void aRowThatTheCopyLacksIsRestored() {
        knowledge.addRow(ACCOUNT, new KnownRow(at(1, 60), COPIED));
        assertThat(knowledge.complete(ACCOUNT, PrepaidRow.EMPTY, at(2, 0))).isEqualTo(COPIED);
    }

    @Test
    public void aGrantAfterTheKnownRowIsAdded() {
        knowledge.addRow(ACCOUNT, new KnownRow(at(1, 50), COPIED));
        knowledge.addGrant(ACCOUNT, "b", new KnownGrant(at(1, 55), 30_000));
        assertThat(knowledge.complete(ACCOUNT, COPIED, at(2, 50)).used()).isEqualTo(31_000);
    }

    @Test
    public void aGrantThatTheRowIncludesIsNotAddedAgain() {
        knowledge.addGrant(ACCOUNT, "b", new KnownGrant(at(1, 30), 30_000));
        assertThat(knowledge.complete(ACCOUNT, COPIED, at(2, 50))).isEqualTo(COPIED);
    }

    /** A write that was on its way during the drill met a row that was given the same version again. */
    @Test
    public void aLateWriteOfAnOlderEraDoesNotHideTheRowThatItReplaced() {
        PrepaidRow restored = COPIED.withHolding("b", new Holding(60_000, 0)).basedOn(at(2, 50));
        knowledge.addRow(ACCOUNT, new KnownRow(at(2, 51), restored));
        PrepaidRow late = COPIED.withHolding("c", new Holding(5_000, 0)).basedOn(at(1, 51));
        assertThat(knowledge.complete(ACCOUNT, late, at(2, 52)).holding("b")).isPresent();
    }

    @Test
    public void aRowOfAnOlderVersionWithoutABasisCoversBoth() {
        PrepaidRow withoutBasis = EMPTY.withHolding("old", new Holding(20_000, 0));
        knowledge.addRow(ACCOUNT, new KnownRow(at(1, 60), COPIED));
        PrepaidRow complete = knowledge.complete(ACCOUNT, withoutBasis, at(2, 50));
        assertThat(complete.used()).isEqualTo(21_000);
    }

    @Test
    public void aStoreWithoutErasLosesNothing() {
        knowledge.addRow(ACCOUNT, new KnownRow(StorePosition.withoutEra(60), EMPTY));
        PrepaidRow later = EMPTY.withHolding("a", new Holding(20_000, 0));
        assertThat(knowledge.complete(ACCOUNT, later, StorePosition.withoutEra(61)))
                .isEqualTo(later);
    }

    private static StorePosition at(long era, long version) {
        return new StorePosition(era, version);
    }
}
