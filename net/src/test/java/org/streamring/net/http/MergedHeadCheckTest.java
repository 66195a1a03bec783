package org.streamring.net.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.util.ReferenceCountUtil;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class MergedHeadCheckTest {
    private static final int HEAD_BYTES = 65_536;
    private static final MergedHeadCheck CHECK = new MergedHeadCheck(List.of("X-Request-Id", "X-Signature"));
    private static final String END = "\r\n\r\n";
    private static final String SECOND = "HTTP/1.1 500 Failed\r\nX-Request-Id: r-1\r\nContent-Length: 0" + END;

    @DataProvider
    public Object[][] heads() {
        List<String> headers = new ArrayList<>(List.of(
                "X-Request-Id: r-1",
                "x-signature: 3e1b.07",
                "CONTENT-TYPE: text/event-stream",
                "Folded: a\r\n b\r\n\tc",
                "Empty:",
                "Date: Fri, 04 Dec 2026 10:00:00 GMT",
                "Content-Length: 0"));
        Object[][] heads = new Object[8][];
        for (int i = 0; i < heads.length; i++) {
            Collections.shuffle(headers, new Random(i));
            String line = i % 2 == 0 ? "HTTP/1.1 200 OK" : "HTTP/1.0 404 Not found here";
            heads[i] = new Object[] {line + "\r\n" + String.join("\r\n", headers) + END};
        }
        return heads;
    }

    @Test(dataProvider = "heads")
    public void aHeadThatBreaksOffAtAnyByteIsNotCompletedByTheNextOne(String head) {
        for (int cut = 1; cut < head.length(); cut++) {
            for (String second : List.of(SECOND, SECOND.replace(" Failed", ""), SECOND.replace("1.1", "1.0"))) {
                Optional<HttpResponse> read = read(head.substring(0, cut), second);
                assertThat(read.filter(response -> CHECK.defectOf(response).isEmpty()))
                        .as("broken off behind <%s>", head.substring(Math.max(0, cut - 20), cut))
                        .isEmpty();
            }
        }
    }

    @Test(dataProvider = "heads")
    public void aWholeHeadThatArrivesInTwoPartsIsSound(String head) {
        for (int cut = 1; cut < head.length(); cut++) {
            HttpResponse read =
                    read(head.substring(0, cut), head.substring(cut)).orElseThrow();
            assertThat(CHECK.defectOf(read)).isEmpty();
        }
    }

    @DataProvider
    public Object[][] repeatedHeaders() {
        return new Object[][] {
            {"X-Request-Id: r-1\r\nx-request-id: r-1"},
            {"X-Signature: a\r\nX-Signature: b"},
            {"Content-Type: text/plain\r\nContent-Type: text/plain"}
        };
    }

    @Test(dataProvider = "repeatedHeaders")
    public void aHeadThatRepeatsAHeaderWhichAnAnswerHasOnceIsMerged(String headers) {
        HttpResponse read = read("HTTP/1.1 200 OK\r\n" + headers, END).orElseThrow();
        assertThat(CHECK.defectOf(read)).isPresent();
    }

    @DataProvider
    public Object[][] soundHeaders() {
        return new Object[][] {
            {"Via: HTTP/1.1 proxy"},
            {"Via: HTTP/1.1 127.0.0.1:8080"},
            {"Upgrade: HTTP/2.0, HTTP/1.1"},
            {"Warning: 299 - \"HTTP/1.1 is old\""},
            {"Server: HTTP/1.1 20000"},
        };
    }

    @Test(dataProvider = "soundHeaders")
    public void aHeaderThatNamesTheProtocolIsSound(String header) {
        HttpResponse read = read("HTTP/1.1 505 HTTP Version Not Supported\r\n" + header, END)
                .orElseThrow();
        assertThat(CHECK.defectOf(read)).isEmpty();
    }

    /** Returns the first head that can be decoded. */
    private static Optional<HttpResponse> read(String first, String second) {
        EmbeddedChannel channel = new EmbeddedChannel(new AnswerDecoder(HEAD_BYTES, HEAD_BYTES));
        for (String part : List.of(first, second)) {
            channel.writeInbound(Unpooled.copiedBuffer(part, StandardCharsets.US_ASCII));
        }
        Object message = channel.readInbound();
        channel.releaseInbound();
        ReferenceCountUtil.release(message);
        return message instanceof HttpResponse response
                        && response.decoderResult().isSuccess()
                ? Optional.of(response)
                : Optional.empty();
    }
}
