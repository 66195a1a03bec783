package org.streamring.entry.caller;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.nio.charset.StandardCharsets;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class ModelCallTest {
    @DataProvider
    public Object[][] bodiesWithoutPrompt() {
        return new Object[][] {
            {"{\"model\":\"m\"}"},
            {"{\"model\":\"m\",\"messages\":[]}"},
            {"{\"model\":\"m\",\"messages\":\"hello\"}"},
            {"{\"model\":\"m\",\"messages\":null,\"prompt\":\"hello\"}"},
            {"{\"model\":\"m\",\"prompt\":7}"},
        };
    }

    @Test(dataProvider = "bodiesWithoutPrompt")
    public void aBodyWithoutAPromptIsRefused(String body) {
        assertThatThrownBy(() -> ModelCall.parse(body.getBytes(StandardCharsets.UTF_8)))
                .isInstanceOf(RefusedException.class);
    }

    @Test
    public void messagesOrAPromptAreAccepted() throws RefusedException {
        assertThat(parse("{\"model\":\"m\",\"messages\":[{\"role\":\"user\"}]}").model())
                .isEqualTo("m");
        assertThat(parse("{\"model\":\"m\",\"prompt\":\"hello\"}").model()).isEqualTo("m");
    }

    private static ModelCall parse(String body) throws RefusedException {
        return ModelCall.parse(body.getBytes(StandardCharsets.UTF_8));
    }
}
