package org.streamring.direct.caller;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.streamring.direct.TestHeaders;
import org.streamring.direct.log.DecisionLog;
import org.streamring.direct.memory.BodyMemory;
import org.streamring.direct.metrics.EntryMetrics;
import org.streamring.kernel.memory.MemoryLimits;
import org.streamring.model.route.CallerLimits;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;

/** Starts a server for callers before each test, with one caller that is connected to it. */
abstract class CallerServerTestBase {
    static final int LARGE_BODY_BYTES = 16_000_000;
    static final Duration IDLE_TIMEOUT = Duration.ofMillis(300);

    final List<CallerRequest> served = new CopyOnWriteArrayList<>();
    final List<AnswerWriter> waiting = new CopyOnWriteArrayList<>();
    final List<IncompleteAnswer> incomplete = new CopyOnWriteArrayList<>();
    final List<String> refused = new CopyOnWriteArrayList<>();
    private NioEventLoopGroup loops;
    private EventLoop loop;
    private DecisionLog log;
    CallerServer server;
    Socket caller;
    volatile Duration headerTimeout;
    volatile Duration idleTimeout;
    volatile boolean stopping;
    volatile boolean answerAtOnce;
    volatile int answerBytes;
    volatile int maxBodyBytes;

    @BeforeMethod
    public final void startServer() throws Exception {
        served.clear();
        waiting.clear();
        incomplete.clear();
        refused.clear();
        stopping = false;
        answerAtOnce = true;
        answerBytes = 2;
        maxBodyBytes = 100_000;
        headerTimeout = Duration.ofSeconds(3);
        idleTimeout = IDLE_TIMEOUT;
        loops = new NioEventLoopGroup(1);
        log = new DecisionLog(OutputStream.nullOutputStream(), "entry");
        loop = loops.next();
        server = new CallerServer(
                loops,
                new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                new Sink(),
                () -> new CallerLimits(16_384, maxBodyBytes, headerTimeout, idleTimeout),
                new BodyMemory(loop, CallerServerTestBase::nowMillis, memoryLimits(), new EntryMetrics(), log),
                CallerServerTestBase::nowMillis,
                () -> stopping,
                TestHeaders.NAMES,
                incomplete::add);
        caller = new Socket(InetAddress.getLoopbackAddress(), server.port());
        caller.setTcpNoDelay(true);
        caller.setSoTimeout(5_000);
    }

    @AfterMethod(alwaysRun = true)
    public final void stopServer() throws Exception {
        caller.close();
        loops.shutdownGracefully(0, 0, TimeUnit.SECONDS).sync();
        log.close();
    }

    private static long nowMillis() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }

    /** Returns the limits on the memory for bodies. */
    MemoryLimits memoryLimits() {
        return new MemoryLimits(100_000_000);
    }

    private final class Sink implements RequestSink {
        @Override
        public ActiveRequest serve(CallerRequest request, AnswerWriter writer) {
            return CallerServerTestBase.this.serve(request, writer);
        }

        @Override
        public void refused(String requestId, int status, String reason, String detail) {
            refused.add(requestId + " " + status + " " + reason);
        }
    }

    private RequestSink.ActiveRequest serve(CallerRequest request, AnswerWriter writer) {
        served.add(request);
        if (answerAtOnce) {
            writer.writeFull(200, EmptyHttpHeaders.INSTANCE, new byte[answerBytes]);
        } else {
            waiting.add(writer);
        }
        return new RequestSink.ActiveRequest() {
            @Override
            public RequestSink.Progress progress() {
                return RequestSink.Progress.NONE;
            }

            @Override
            public void callerGone() {
                // the tests keep no request for a caller that left
            }

            @Override
            public void writabilityChanged(boolean writable) {
                // answers are written whole
            }
        };
    }

    void answer(int index) throws Exception {
        onLoop(() -> waiting.get(index).writeFull(200, EmptyHttpHeaders.INSTANCE, new byte[2]));
    }

    void callOnce() throws Exception {
        send(request(4) + "body");
        assertThat(readAnswer()).startsWith("HTTP/1.1 200");
    }

    static String request(int bodyBytes) {
        return "POST /a HTTP/1.1\r\nHost: h.example\r\nid: r\r\nContent-Length: " + bodyBytes + "\r\n\r\n";
    }

    void send(String text) throws IOException {
        caller.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
    }

    /** Reads an answer and returns its head; empty if the connection ended before. */
    String readAnswer() throws IOException {
        InputStream in = caller.getInputStream();
        StringBuilder head = new StringBuilder();
        while (!head.toString().endsWith("\r\n\r\n")) {
            int next = in.read();
            if (next < 0) {
                return "";
            }
            head.append((char) next);
        }
        String length = head.toString().toLowerCase(Locale.ROOT).replaceAll("(?s).*content-length: (\\d+).*", "$1");
        int bodyBytes = Integer.parseInt(length);
        return in.readNBytes(bodyBytes).length == bodyBytes ? head.toString() : "";
    }

    interface Action {
        void run() throws Exception;
    }

    /** Lets bytes arrive while the event loop is busy, and runs a task of the loop before it reads them. */
    void whileTheLoopIsBusy(Action arrival, Runnable task) throws Exception {
        onLoop(() -> {
            arrival.run();
            Thread.sleep(50);
            task.run();
        });
    }

    void onLoop(Action action) throws Exception {
        askLoop(() -> {
            action.run();
            return true;
        });
    }

    <T> T askLoop(Callable<T> action) throws Exception {
        List<T> result = new ArrayList<>();
        loop.submit(() -> result.add(action.call())).get(5, TimeUnit.SECONDS);
        return result.get(0);
    }
}
