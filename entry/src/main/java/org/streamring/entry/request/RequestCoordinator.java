package org.streamring.entry.request;

import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.atomic.AtomicInteger;
import org.streamring.entry.caller.AnswerSink;
import org.streamring.entry.caller.Call;
import org.streamring.entry.caller.CallReceiver;
import org.streamring.entry.caller.RefusedException;
import org.streamring.entry.config.PolicyRegistry;
import org.streamring.model.declaration.AccountDeclaration;
import org.streamring.model.request.Refusal;
import org.streamring.model.request.RefusalReason;

/** Receives calls, admits them on worker threads and passes them to {@link RunningRequest}. */
public final class RequestCoordinator implements CallReceiver {
    private final RequestAdmitter admitter;
    private final PolicyRegistry policies;
    private final RequestServices services;
    private final AtomicInteger open = new AtomicInteger();
    private volatile boolean stopping;

    /** Creates a coordinator that accepts calls. */
    public RequestCoordinator(RequestAdmitter admitter, PolicyRegistry policies, RequestServices services) {
        this.admitter = admitter;
        this.policies = policies;
        this.services = services;
    }

    /** Returns the number of requests without a final answer. */
    public int openRequests() {
        return open.get();
    }

    /** Refuses all calls received from now on. */
    public void refuseNewCalls() {
        stopping = true;
    }

    /** Returns the refusal of calls that arrive at a stopping entry. */
    public static Refusal stoppingRefusal() {
        return Refusal.of(RefusalReason.ENTRY_STOPPING, "this entry is stopping; ask again");
    }

    @Override
    public Runnable receive(String requestId, Call call, AnswerSink sink) {
        open.incrementAndGet();
        RunningRequest request =
                new RunningRequest(services, new CountingAnswerSink(sink, services.metrics(), open::decrementAndGet));
        if (stopping) {
            request.refuse(stoppingRefusal());
            return request::callerGone;
        }
        try {
            services.workers().execute(() -> start(requestId, call, request));
        } catch (RejectedExecutionException e) {
            request.refuse(Refusal.of(RefusalReason.OVERLOAD, "this entry is overloaded"));
        }
        return request::callerGone;
    }

    private void start(String requestId, Call call, RunningRequest request) {
        try {
            String account = admitter.authenticate(call);
            AccountDeclaration limits =
                    policies.current().declarations().accounts().get(account);
            boolean started =
                    limits != null && services.limiter().tryStart(account, limits, System.currentTimeMillis());
            if (!started) {
                throw new RefusedException(
                        Refusal.of(RefusalReason.ACCOUNT_LIMIT, "the client account is at its limit"));
            }
            request.onDone(() -> services.limiter().ended(account));
            request.start(admitter.admit(requestId, account, call));
        } catch (RefusedException e) {
            request.refuse(e.refusal());
        }
    }
}
