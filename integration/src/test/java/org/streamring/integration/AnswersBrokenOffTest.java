package org.streamring.integration;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.streamring.fleet.Fleet;
import org.streamring.standin.engine.EngineSettings;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Guards against callers who get a part of an answer as a whole one, because its server stopped at some byte of it. */
public class AnswersBrokenOffTest extends FleetTestBase {
    private static final String END = "\r\n\r\n";
    private static final Pattern LENGTH = Pattern.compile("content-length: (\\d+)");
    private static final String EVENTS = "data: {\"a\":1}\n\ndata: [DONE]\n\n";
    private static final String JSON =
            "{\"usage\":{\"prompt_tokens\":1,\"completion_tokens\":1,\"total_tokens\":2},\"a\":1}";

    private final AtomicInteger answers = new AtomicInteger();
    private volatile String answer = "";
    private volatile boolean reset;
    private ServerSocket server;

    @AfterMethod(alwaysRun = true)
    public void closeServer() throws IOException {
        if (server != null) {
            server.close();
        }
    }

    @DataProvider
    public Object[][] modelAnswers() {
        String head = "HTTP/1.1 200 OK\r\nContent-Type: ";
        return new Object[][] {
            {false, head + "application/json\r\nContent-Length: " + JSON.length() + END + JSON},
            {true, head + "text/event-stream\r\nContent-Length: " + EVENTS.length() + END + EVENTS},
            {true, head + "text/event-stream\r\nTransfer-Encoding: chunked" + END + "1d\r\n" + EVENTS + "\r\n0" + END},
        };
    }

    @Test(dataProvider = "modelAnswers")
    public void noCallerOfAModelGetsAPartOfAnAnswerAsWhole(boolean streamed, String whole) throws Exception {
        fleet = new Fleet(1, EngineSettings.fast(), 5).start(1);
        replaceServer(fleet.engines.get(0).url(), fleet.engines.get(0)::close);
        answer = whole;
        assertThat(chat(streamed).map(Fleet::outcome)).contains(streamed ? "" : "answered");
        for (int cut = 0; cut < whole.length(); cut++) {
            answer = whole.substring(0, cut);
            for (boolean byReset : new boolean[] {false, true}) {
                reset = byReset;
                Optional<HttpResponse<String>> got = chat(streamed);
                assertThat(got.map(AnswersBrokenOffTest::isWhole).orElse(false))
                        .as("ends with <%s>, caller got %s", answer, got.map(HttpResponse::body))
                        .isFalse();
            }
        }
        assertThat(answers).as("answers begun").hasValueGreaterThan(whole.length());
    }

    @DataProvider
    public Object[][] plainAnswers() {
        String head = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n";
        return new Object[][] {
            {head + "Content-Length: 4" + END + "abcd"},
            {head + "Transfer-Encoding: chunked" + END + "3\r\nabc\r\n1\r\nd\r\n0" + END},
        };
    }

    @Test(dataProvider = "plainAnswers")
    public void noCallerOfAPlainServiceGetsAPartOfAnAnswerAsWhole(String whole) throws Exception {
        fleet = new Fleet(1, EngineSettings.fast(), 5).start(1);
        replaceServer(fleet.service.url(), fleet.service::close);
        answer = whole;
        assertThat(plain().map(HttpResponse::body)).contains("abcd");
        for (int cut = 0; cut < whole.length(); cut++) {
            answer = whole.substring(0, cut);
            for (boolean byReset : new boolean[] {false, true}) {
                reset = byReset;
                Optional<HttpResponse<String>> got = plain();
                assertThat(got.map(AnswersBrokenOffTest::isWhole).orElse(false))
                        .as("ends with <%s>, caller got %s", answer, got.map(HttpResponse::body))
                        .isFalse();
            }
        }
        assertThat(answers).as("answers begun").hasValueGreaterThan(whole.length());
    }

    private static boolean isWhole(HttpResponse<String> response) {
        boolean answered =
                Fleet.outcome(response).equals("answered") || response.body().contains("\"outcome\":\"answered\"");
        boolean marked = response.body().contains("\"outcome\":\"unknown\"")
                || Fleet.outcome(response).equals("unknown")
                || Fleet.outcome(response).equals("not-run");
        return answered || !marked;
    }

    private Optional<HttpResponse<String>> chat(boolean streamed) {
        return response(() -> fleet.chat("entry-1", Fleet.HOSPITAL_KEY, 5, streamed, ""));
    }

    private Optional<HttpResponse<String>> plain() {
        return response(() -> fleet.plain("entry-1", "GET", "/setpoints/7", ""));
    }

    private interface Call {
        HttpResponse<String> send();
    }

    /** Returns an empty result if the connection of the caller broke off. */
    private static Optional<HttpResponse<String>> response(Call call) {
        try {
            return Optional.of(call.send());
        } catch (UncheckedIOException brokenOff) {
            return Optional.empty();
        }
    }

    /** Closes a stand-in and answers in its place on the same port. */
    private void replaceServer(String url, Runnable close) throws IOException {
        close.run();
        server = new ServerSocket(URI.create(url).getPort(), 50, InetAddress.getLoopbackAddress());
        start(() -> {
            while (true) {
                Socket accepted = server.accept();
                start(() -> answer(accepted));
            }
        });
    }

    private interface Work {
        void run() throws IOException;
    }

    private static void start(Work work) {
        Thread thread = new Thread(() -> {
            try {
                work.run();
            } catch (IOException e) {
                // the sidecar or the test has closed its end
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    private void answer(Socket accepted) throws IOException {
        try (Socket connection = accepted) {
            readRequest(connection.getInputStream());
            connection.getOutputStream().write(answer.getBytes(StandardCharsets.US_ASCII));
            answers.incrementAndGet();
            if (reset) {
                connection.setSoLinger(true, 0);
            }
        }
    }

    /** Reads all of a request, as closing a connection with unread bytes would reset it. */
    private static void readRequest(InputStream in) throws IOException {
        StringBuilder head = new StringBuilder();
        while (!head.toString().endsWith(END)) {
            int next = in.read();
            if (next < 0) {
                return;
            }
            head.append((char) next);
        }
        Matcher length = LENGTH.matcher(head.toString().toLowerCase(Locale.ROOT));
        if (length.find()) {
            in.readNBytes(Integer.parseInt(length.group(1)));
        }
    }
}
