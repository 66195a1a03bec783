package org.streamring.net.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.util.ReferenceCountUtil;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class MergedRequestCheckTest {
    private static final int HEAD_BYTES = 65_536;
    private static final MergedRequestCheck CHECK = new MergedRequestCheck(List.of("X-Request-Id", "X-Deadline-Ms"));
    private static final String END = "\r\n\r\n";

    @DataProvider
    public Object[][] heads() {
        return new Object[][] {
            {"POST /a/1 HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: r-1\r\nX-Deadline-Ms: 1500\r\nContent-Length: 0"},
            {"GET /a?b=c HTTP/1.1\r\nx-request-id: r-1\r\nhost: h.example\r\nAccept: */*\r\nFolded: a\r\n b\r\n\tc"},
            {"PUT /a HTTP/1.0\r\nEmpty:\r\nAuthorization: Bearer KEY\r\nUser-Agent: A/1.0 (B; C)\r\nHost: h.example"},
        };
    }

    @DataProvider
    public Object[][] splitHeads() {
        return heads();
    }

    /** Behind a part of a method, the rest is one whole request with an unknown method. */
    @Test(dataProvider = "heads")
    public void aHeadThatBreaksOffAtAnyByteBehindItsMethodIsNotCompletedByTheNextOne(String first) {
        String head = first + END;
        List<String> seconds = List.of(
                "POST /b HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: r-2" + END,
                "GET /b:c HTTP/1.1\r\nHost: h.example" + END,
                "DELETE http://h.example:80/b HTTP/1.0" + END);
        for (int cut = head.indexOf(" ") + 1; cut < head.length(); cut++) {
            for (String second : seconds) {
                assertThat(read(head.substring(0, cut), second).filter(MergedRequestCheckTest::isSound))
                        .as("broken off behind <%s> before %s", head.substring(Math.max(0, cut - 20), cut), second)
                        .isEmpty();
            }
        }
    }

    @Test(dataProvider = "splitHeads")
    public void aWholeHeadThatArrivesInTwoPartsIsSound(String first) {
        String head = first + END;
        for (int cut = 1; cut < head.length(); cut++) {
            assertThat(read(head.substring(0, cut), head.substring(cut)).filter(MergedRequestCheckTest::isSound))
                    .isPresent();
        }
    }

    @DataProvider
    public Object[][] soundHeaders() {
        return new Object[][] {
            {"Via: HTTP/1.1 proxy"},
            {"Upgrade: HTTP/2.0, HTTP/1.1"},
            {"Referer: http://h.example/GET/HTTP/1.1"},
            {"X-Note: I GET it"},
            {"X-Note: HTTP/1.1 GET /a"},
            {"Cookie: a=1\r\nCookie: b=2"},
            {"Accept: a/b\r\nAccept: c/d"},
        };
    }

    @Test(dataProvider = "soundHeaders")
    public void aProperRequestIsSound(String header) {
        assertThat(read("GET /HTTP/1.1 HTTP/1.1\r\nHost: h.example\r\n" + header, END)
                        .filter(MergedRequestCheckTest::isSound))
                .isPresent();
    }

    @Test(timeOut = 20_000)
    public void aLongValueIsCheckedInATimeThatGrowsWithItsLength() {
        String value = "A".repeat(30_000) + " HTTP/ " + "A ".repeat(15_000);
        assertThat(read("GET / HTTP/1.1\r\nX-A: " + value, END).filter(MergedRequestCheckTest::isSound))
                .isPresent();
    }

    private static boolean isSound(HttpRequest request) {
        return CHECK.defectOf(request).isEmpty();
    }

    /** Returns the first head if it can be decoded. */
    private static Optional<HttpRequest> read(String first, String second) {
        EmbeddedChannel channel = new EmbeddedChannel(
                new RequestCodec(new ArrivingRequest(() -> 0), CHECK, HEAD_BYTES, HEAD_BYTES, HEAD_BYTES));
        for (String part : List.of(first, second)) {
            channel.writeInbound(Unpooled.copiedBuffer(part, StandardCharsets.US_ASCII));
        }
        Object message = channel.readInbound();
        channel.releaseInbound();
        ReferenceCountUtil.release(message);
        return message instanceof HttpRequest request && request.decoderResult().isSuccess()
                ? Optional.of(request)
                : Optional.empty();
    }
}
