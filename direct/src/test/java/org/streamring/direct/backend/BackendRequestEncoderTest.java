package org.streamring.direct.backend;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class BackendRequestEncoderTest {
    @DataProvider
    public Object[][] targets() {
        return new Object[][] {
            {"/setpoints/7?unit=celsius".getBytes(StandardCharsets.US_ASCII)},
            {"/rooms/\u00fc".getBytes(StandardCharsets.ISO_8859_1)},
            {"/rooms?name=\u00fc".getBytes(StandardCharsets.UTF_8)}
        };
    }

    /** Guards against targets with bytes above 127, which reached servers changed. */
    @Test(dataProvider = "targets")
    public void aTargetIsWrittenByteByByteAsItWasReceived(byte[] target) {
        String received = new String(target, StandardCharsets.ISO_8859_1);
        String sent = "GET " + received + " HTTP/1.1\r\n";
        assertThat(written(decoded(sent)).substring(0, sent.length())).isEqualTo(sent);
    }

    private static HttpRequest decoded(String head) {
        EmbeddedChannel channel = new EmbeddedChannel(new HttpRequestDecoder());
        channel.writeInbound(
                channel.alloc().buffer().writeBytes((head + "\r\n").getBytes(StandardCharsets.ISO_8859_1)));
        HttpRequest request = channel.readInbound();
        channel.finishAndReleaseAll();
        return request;
    }

    private static String written(HttpRequest request) {
        EmbeddedChannel channel = new EmbeddedChannel(new BackendRequestEncoder());
        channel.writeOutbound(new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, request.uri()));
        ByteBuf bytes = channel.readOutbound();
        String text = bytes.toString(StandardCharsets.ISO_8859_1);
        bytes.release();
        channel.finishAndReleaseAll();
        return text;
    }
}
