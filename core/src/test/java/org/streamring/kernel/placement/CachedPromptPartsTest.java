package org.streamring.kernel.placement;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.testng.annotations.Test;

public class CachedPromptPartsTest {
    private static final PromptPart FIRST = new PromptPart("a", 100);
    private static final PromptPart SECOND = new PromptPart("b", 200);
    private static final PromptPart THIRD = new PromptPart("c", 300);

    private final CachedPromptParts cachedParts = new CachedPromptParts();

    @Test
    public void aPartIsUsefulOnlyIfAllPartsBeforeItAreCached() {
        cachedParts.add(List.of(FIRST, SECOND), 10_000);
        assertThat(cachedParts.cachedTokens(List.of(FIRST, SECOND, THIRD))).isEqualTo(300);
        assertThat(cachedParts.cachedTokens(List.of(THIRD, SECOND))).isZero();
    }

    @Test
    public void theLeastRecentlyUsedPartIsEvicted() {
        CachedPromptParts small = new CachedPromptParts();
        small.add(List.of(FIRST), 500);
        small.add(List.of(SECOND), 500);
        small.add(List.of(FIRST), 500);
        small.add(List.of(THIRD), 500);
        assertThat(small.cachedTokens(List.of(FIRST))).isEqualTo(100);
        assertThat(small.cachedTokens(List.of(SECOND))).isZero();
        assertThat(small.cachedTokens(List.of(THIRD))).isEqualTo(300);
    }
}
