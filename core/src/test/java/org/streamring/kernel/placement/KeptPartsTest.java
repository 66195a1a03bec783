package org.streamring.kernel.placement;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.testng.annotations.Test;

public class KeptPartsTest {
    private static final PromptPart FIRST = new PromptPart("a", 100);
    private static final PromptPart SECOND = new PromptPart("b", 200);
    private static final PromptPart THIRD = new PromptPart("c", 300);

    private final KeptParts kept = new KeptParts();

    @Test
    public void aPartCountsOnlyIfAllBeforeItAreKept() {
        kept.read(List.of(FIRST, SECOND), 10_000);
        assertThat(kept.keptTokens(List.of(FIRST, SECOND, THIRD))).isEqualTo(300);
        assertThat(kept.keptTokens(List.of(THIRD, SECOND))).isZero();
    }

    @Test
    public void whatWasUnusedForLongestGivesWay() {
        KeptParts small = new KeptParts();
        small.read(List.of(FIRST), 500);
        small.read(List.of(SECOND), 500);
        small.read(List.of(FIRST), 500);
        small.read(List.of(THIRD), 500);
        assertThat(small.keptTokens(List.of(FIRST))).isEqualTo(100);
        assertThat(small.keptTokens(List.of(SECOND))).isZero();
        assertThat(small.keptTokens(List.of(THIRD))).isEqualTo(300);
    }
}
