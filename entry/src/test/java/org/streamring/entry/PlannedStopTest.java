package org.streamring.entry;

import static java.nio.charset.StandardCharsets.US_ASCII;
import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.awaitility.Awaitility;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests what callers receive from an entry that stops. */
public class PlannedStopTest {
    /** Their answers take more than sockets buffer. */
    private static final int CALLS = 30_000;

    private static final int RECEIVE_BUFFER_BYTES = 4_096;
    private static final String CALL = "POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\n{}";
    private static final Pattern ANSWERED = Pattern.compile("streamring_requests_total\\{[^}]*} (\\d+)");
    private static final Pattern ANSWER = Pattern.compile("HTTP/1\\.1 \\d+ ");

    private final HttpClient client = HttpClient.newHttpClient();
    private EntryProcess entry;
    private Socket caller;

    @BeforeMethod
    public void start() throws Exception {
        entry = new EntryProcess(EntrySettings.SCHEMA.parse("test", """
                name = "entry-1"
                failure_domain = "domain-0"
                fleet_key = "planned-stop-fleet-key"
                listen.port = 0
                platform.url = "http://127.0.0.1:1"
                platform.key = "planned-stop-platform-key"
                stop.wait = "30s"
                """));
        caller = new Socket();
        caller.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
        caller.setSoTimeout(20_000);
        caller.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), entry.port()));
    }

    @AfterMethod(alwaysRun = true)
    public void close() throws IOException {
        caller.close();
        entry.close();
    }

    @Test
    public void answersThatWereGivenAreWrittenBeforeTheEntryStops() throws Exception {
        caller.getOutputStream().write(CALL.repeat(CALLS).getBytes(US_ASCII));
        Awaitility.await().atMost(Duration.ofSeconds(30)).until(() -> answeredCalls() == CALLS);
        CompletableFuture<Void> stop = CompletableFuture.runAsync(entry::stopGracefully);
        Thread.sleep(500);
        String received = new String(caller.getInputStream().readAllBytes(), US_ASCII);
        assertThat(ANSWER.matcher(received).results().count()).isEqualTo(CALLS);
        assertThat(received).endsWith("}");
        stop.get(10, TimeUnit.SECONDS);
    }

    private long answeredCalls() throws IOException, InterruptedException {
        URI uri = URI.create("http://127.0.0.1:" + entry.adminPort() + "/metrics");
        String metrics = client.send(HttpRequest.newBuilder(uri).build(), HttpResponse.BodyHandlers.ofString())
                .body();
        long answered = 0;
        for (Matcher line = ANSWERED.matcher(metrics); line.find(); ) {
            answered += Long.parseLong(line.group(1));
        }
        return answered;
    }
}
