package org.streamring.direct.backend;

import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.streamring.direct.TestHeaders;
import org.streamring.standin.http.AnswerContent;
import org.streamring.standin.http.AnswerStep;
import org.streamring.standin.http.DamagedAnswer;

/** Sends requests through one pool to a server that damages its answers, one after the other. */
final class DamagedAnswerCaller implements AutoCloseable {
    private final EventLoop loop;
    private final ExecutorService threads;
    private DamagingServer server;
    private BackendPool pool;

    DamagedAnswerCaller(EventLoop loop, ExecutorService threads) throws IOException {
        this.loop = loop;
        this.threads = threads;
        start();
    }

    private void start() throws IOException {
        server = new DamagingServer(threads);
        pool = new BackendPool(
                loop,
                server.address(),
                TestHeaders.NAMES,
                () -> TimeUnit.NANOSECONDS.toMillis(System.nanoTime()),
                took -> {},
                (status, notice, limit, sentMillis) -> {},
                new NoDefects());
    }

    /**
     * Sends a request that is answered by a script; returns the answer, or empty if there is no whole one. A request
     * that could not be sent, for instance as the box is busy, is sent again.
     *
     * @param patienceMillis time behind the pauses of the script after which the request is given up
     */
    Optional<AnswerContent> call(String id, DamagedAnswer script, long patienceMillis)
            throws IOException, InterruptedException {
        if (server.exited()) {
            start();
        }
        server.answerBy(id, script);
        while (true) {
            Answer answer = send(id, patienceMillis + pauseMillis(script));
            if (!answer.notSent) {
                return answer.content.getNow(Optional.empty());
            }
        }
    }

    private Answer send(String id, long patienceMillis) throws InterruptedException {
        HttpHeaders headers = new DefaultHttpHeaders().set(TestHeaders.NAMES.requestId(), id);
        BackendRequest request = new BackendRequest(id, HttpMethod.GET, "/", headers, new byte[0], 0, false);
        Answer answer = new Answer();
        CompletableFuture<BackendAttempt> begun = new CompletableFuture<>();
        loop.execute(() -> begun.complete(pool.begin(request, () -> true, answer)));
        try {
            answer.content.get(patienceMillis, TimeUnit.MILLISECONDS);
        } catch (ExecutionException e) {
            throw new IllegalStateException(e);
        } catch (TimeoutException unanswered) {
            begun.thenAccept(attempt -> loop.execute(attempt::cancel));
        }
        return answer;
    }

    private static long pauseMillis(DamagedAnswer script) {
        return script.steps().stream()
                .mapToLong(step -> step instanceof AnswerStep.Pause pause ? pause.millis() : 0)
                .sum();
    }

    @Override
    public void close() throws IOException {
        server.close();
    }

    private static final class Answer implements AttemptListener {
        private final CompletableFuture<Optional<AnswerContent>> content = new CompletableFuture<>();
        private final StringBuilder body = new StringBuilder();
        private AnswerHead head;
        private volatile boolean notSent;

        @Override
        public void onHead(AnswerHead received) {
            head = received;
        }

        @Override
        public void onData(byte[] data) {
            body.append(new String(data, StandardCharsets.US_ASCII));
        }

        @Override
        public void onEnd() {
            content.complete(Optional.of(new AnswerContent(
                    head.status(),
                    Optional.ofNullable(head.headers().get(TestHeaders.NAMES.requestId())),
                    String.join(",", head.headers().getAll(TestHeaders.NAMES.signature())),
                    body.toString(),
                    head.headers().contains("Content-Type", "text/event-stream", true))));
        }

        @Override
        public void onFailure(AttemptFailure failure, String reason) {
            notSent = failure == AttemptFailure.NOT_SENT;
            content.complete(Optional.empty());
        }
    }
}
