package org.streamring.sidecar.backend;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.nio.charset.StandardCharsets;
import org.streamring.kernel.receipt.Usage;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class EventStreamReaderTest {
    private static final String STREAM = """
            data: {"choices":[{"delta":{"content":"é"}}],"usage":{"prompt_tokens":3,"completion_tokens":1}}

            data: {"choices":[],"usage":{"prompt_tokens":3,"completion_tokens":2}}

            data: [DONE]

            """;

    private static String read(EventStreamReader reader, String text, int chunkBytes) throws Exception {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        StringBuilder forwarded = new StringBuilder();
        for (int from = 0; from < bytes.length; from += chunkBytes) {
            byte[] chunk = java.util.Arrays.copyOfRange(bytes, from, Math.min(bytes.length, from + chunkBytes));
            forwarded.append(new String(reader.read(chunk), StandardCharsets.UTF_8));
        }
        return forwarded.toString();
    }

    @DataProvider
    public Object[][] chunkSizes() {
        return new Object[][] {{1}, {2}, {7}, {64}, {10_000}};
    }

    @Test(dataProvider = "chunkSizes")
    public void usageIsReadAndRemovedHoweverTheBytesAreSplit(int chunkBytes) throws Exception {
        EventStreamReader reader = new EventStreamReader(false);
        String forwarded = read(reader, STREAM, chunkBytes);
        assertThat(forwarded).isEqualTo("data: {\"choices\":[{\"delta\":{\"content\":\"é\"}}]}\n\ndata: [DONE]\n\n");
        assertThat(reader.usage()).contains(Usage.ofModel(3, 2));
        assertThat(reader.done()).isTrue();
    }

    @Test(dataProvider = "chunkSizes")
    public void aStreamIsForwardedUnchangedIfUsageIsRequested(int chunkBytes) throws Exception {
        assertThat(read(new EventStreamReader(true), STREAM, chunkBytes)).isEqualTo(STREAM);
    }

    @Test
    public void aStreamWithoutItsFinalEventIsNotDone() throws Exception {
        EventStreamReader reader = new EventStreamReader(false);
        read(reader, STREAM.substring(0, STREAM.indexOf("data: [DONE]")), 10);
        assertThat(reader.done()).isFalse();
    }

    @Test
    public void aLineAboveTheMaximumLengthIsRejected() {
        EventStreamReader reader = new EventStreamReader(false);
        assertThatThrownBy(() -> reader.read(new byte[(1 << 20) + 2]))
                .isInstanceOf(EventStreamReader.LineTooLongException.class);
    }
}
