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
    public void whileAWriteIsInProgressOnlyThoseOfBothRowsCount() {
        witnesses.proposed(Set.of("b", "c"));
        assertThat(witnesses.usable()).containsExactly("b");
        witnesses.confirmed(Set.of("b", "c"));
        assertThat(witnesses.usable()).containsExactlyInAnyOrder("b", "c");
    }

    @Test
    public void aRefusedWriteLeavesTheOldOnes() {
        witnesses.proposed(Set.of("c"));
        witnesses.refused();
        assertThat(witnesses.usable()).containsExactlyInAnyOrder("a", "b");
    }

    @Test
    public void withoutAnAnswerALaterRefusalDoesNotBringTheOldOnesBack() {
        witnesses.proposed(Set.of("b"));
        witnesses.unanswered();
        witnesses.proposed(Set.of("a", "b"));
        witnesses.refused();
        assertThat(witnesses.usable()).containsExactly("b");
    }

    @Test
    public void noneMeansThatNoRowThatMayBeInForceNamesOne() {
        DurableWitnesses fresh = new DurableWitnesses();
        assertThat(fresh.none()).isTrue();
        fresh.proposed(Set.of("a"));
        fresh.unanswered();
        assertThat(fresh.none()).isFalse();
        assertThat(fresh.usable()).isEmpty();
    }
}
