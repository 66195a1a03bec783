package org.streamring.kernel.prepaid;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Set;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class DurableWitnessesTest {
    private DurableWitnesses witnesses;

    @BeforeMethod
    public void setUp() {
        witnesses = new DurableWitnesses();
        witnesses.confirmed(Set.of("a", "b"));
    }

    @Test
    public void duringAWriteOnlyWitnessesNamedInBothRowsCount() {
        witnesses.proposed(Set.of("b", "c"));
        assertThat(witnesses.usable()).containsExactly("b");
        witnesses.confirmed(Set.of("b", "c"));
        assertThat(witnesses.usable()).containsExactlyInAnyOrder("b", "c");
    }

    @Test
    public void aRefusedWriteRestoresThePreviousWitnesses() {
        witnesses.proposed(Set.of("c"));
        witnesses.refused();
        assertThat(witnesses.usable()).containsExactlyInAnyOrder("a", "b");
    }

    @Test
    public void withoutAnAnswerALaterRefusalDoesNotRestoreThePreviousWitnesses() {
        witnesses.proposed(Set.of("b"));
        witnesses.outcomeUnknown();
        witnesses.proposed(Set.of("a", "b"));
        witnesses.refused();
        assertThat(witnesses.usable()).containsExactly("b");
    }

    @Test
    public void noneNamedIsFalseIfTheStoredRowMayNameAWitness() {
        DurableWitnesses fresh = new DurableWitnesses();
        assertThat(fresh.noneNamed()).isTrue();
        fresh.proposed(Set.of("a"));
        fresh.outcomeUnknown();
        assertThat(fresh.noneNamed()).isFalse();
        assertThat(fresh.usable()).isEmpty();
    }
}
