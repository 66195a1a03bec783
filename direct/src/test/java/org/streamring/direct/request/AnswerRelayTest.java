package org.streamring.direct.request;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.streamring.direct.TestHeaders;
import org.streamring.direct.backend.AnswerHead;
import org.streamring.direct.caller.AnswerWriter;
import org.testng.annotations.Test;

public class AnswerRelayTest {
    private final AnswerRelay relay = new AnswerRelay(
            true,
            new HeaderFilter(TestHeaders.NAMES),
            new DiscardingWriter(),
            () -> {},
            Optional.empty(),
            new StreamTiming(() -> 0, 0));

    @Test
    public void anEventThatBeganBeforeTheCancellationCountsWithThoseThatArriveAfterIt() {
        relay.streamStarted(new AnswerHead(200, new DefaultHttpHeaders()));
        assertThat(relay.streamData(bytes("id: 1\ndata: a\n\nid: 2\nda"))).isEqualTo(1);
        assertThat(relay.skipData(bytes("ta: b\n\nid: 3\n"))).isEqualTo(1);
        assertThat(relay.skipData(bytes("data: c\n\n"))).isEqualTo(1);
        assertThat(relay.endsBetweenEvents()).isTrue();
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    private static final class DiscardingWriter implements AnswerWriter {
        @Override
        public void writeFull(int status, HttpHeaders headers, byte[] body) {}

        @Override
        public void writeHead(int status, HttpHeaders headers) {}

        @Override
        public void writeData(byte[] data) {}

        @Override
        public void end() {}

        @Override
        public void abort(String reason) {}

        @Override
        public boolean writable() {
            return true;
        }

        @Override
        public boolean callerPresent() {
            return true;
        }
    }
}
