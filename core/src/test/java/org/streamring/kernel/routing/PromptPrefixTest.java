package org.streamring.kernel.routing;

import static org.assertj.core.api.Assertions.assertThat;

import org.testng.annotations.Test;

public class PromptPrefixTest {
    @Test
    public void shortPromptsHaveNoMarks() {
        assertThat(PromptPrefix.of("x".repeat(511)).marks()).isEmpty();
        assertThat(PromptPrefix.of("x".repeat(513)).marks()).hasSize(1);
    }
}
