package org.streamring.direct.request;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.List;
import java.util.Optional;
import org.streamring.direct.TestHeaders;
import org.streamring.kernel.placement.Prompt;
import org.streamring.kernel.placement.PromptPart;
import org.testng.annotations.Test;

public class PromptHeaderTest {
    private static final Optional<DeclaredTokens> TOKENS = Optional.of(new DeclaredTokens(900, 50));

    @Test
    public void partsAreReadInOrder() {
        Prompt prompt = read("a:600, b:300", "40");
        assertThat(prompt.parts()).containsExactly(new PromptPart("a", 600), new PromptPart("b", 300));
        assertThat(prompt.likelyAnswerTokens()).isEqualTo(40);
    }

    @Test
    public void aMalformedPartEndsTheList() {
        assertThat(read("a:600,b,c:9", "40").parts()).isEqualTo(List.of(new PromptPart("a", 600)));
        assertThat(read("a:-1", "40").parts()).isEmpty();
    }

    @Test
    public void theExpectedAnswerLengthIsCappedAtTheDeclaredMaximum() {
        assertThat(read("a:600", "999").likelyAnswerTokens()).isEqualTo(50);
        assertThat(read("a:600", "many").likelyAnswerTokens()).isEqualTo(50);
    }

    private static Prompt read(String parts, String hint) {
        HttpHeaders headers = new DefaultHttpHeaders().set("parts", parts).set("hint", hint);
        return PromptHeader.read(headers, TestHeaders.NAMES, TOKENS);
    }
}
