package org.streamring.kernel.routing;

import static org.assertj.core.api.Assertions.assertThat;

import org.testng.annotations.Test;

public class PromptPrefixTest {
    @Test
    public void promptsShorterThanOneBlockHaveNoPrefixHashes() {
        assertThat(PromptPrefix.of("x".repeat(511)).prefixHashes()).isEmpty();
        assertThat(PromptPrefix.of("x".repeat(513)).prefixHashes()).hasSize(1);
    }
}
