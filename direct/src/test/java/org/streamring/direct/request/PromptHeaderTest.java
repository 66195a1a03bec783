package org.streamring.direct.request;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.List;
import java.util.Optional;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
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

    @Test
    public void allPartsExceptTheLastAreShared() {
        assertThat(sharedPartIds("a:600, b:300,c:9")).containsExactly("a", "b");
        assertThat(sharedPartIds("a:600")).isEmpty();
        assertThat(sharedPartIds("")).isEmpty();
    }

    @Test
    public void aMalformedPartIsStillAPartThatOthersMayShare() {
        assertThat(sharedPartIds("a:x,,b,c:9")).containsExactly("a", "b");
    }

    @Test
    public void aRepeatedPartIsListedOnceAndThePartsInTheMiddleOfAVeryLongPromptNotAtAll() {
        assertThat(sharedPartIds("a:1,b:1,a:1,c:1")).containsExactly("a", "b");
        String many =
                IntStream.range(0, 2_000).mapToObj(part -> "p" + part + ":1").collect(Collectors.joining(","));
        assertThat(sharedPartIds(many))
                .hasSize(512)
                .contains("p0", "p255", "p1743", "p1998")
                .doesNotContain("p1999");
    }

    private static List<String> sharedPartIds(String parts) {
        return PromptHeader.sharedPartIds(new DefaultHttpHeaders().set("parts", parts), TestHeaders.NAMES);
    }

    private static Prompt read(String parts, String hint) {
        HttpHeaders headers = new DefaultHttpHeaders().set("parts", parts).set("hint", hint);
        return PromptHeader.read(headers, TestHeaders.NAMES, TOKENS);
    }
}
