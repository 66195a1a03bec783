package org.streamring.direct.request;

import java.time.Duration;
import org.streamring.direct.caller.AnswerWriter;
import org.streamring.platform.node.ForwardingHeaders;

/** Chooses the final answer of one request by what its attempts brought. Confined to the event loop. */
final class FinalAnswers {
    private final RequestPlan plan;
    private final ForwardingHeaders names;
    private final HeaderFilter filter;
    private final AnswerRelay relay;
    private final AnswerWriter writer;
    private final AttemptHistory attempts;

    FinalAnswers(
            RequestPlan plan,
            ForwardingHeaders names,
            HeaderFilter filter,
            AnswerRelay relay,
            AnswerWriter writer,
            AttemptHistory attempts) {
        this.plan = plan;
        this.names = names;
        this.filter = filter;
        this.relay = relay;
        this.writer = writer;
        this.attempts = attempts;
    }

    /** Returns the complete answer of a replica. */
    FinalAnswer whole() {
        return new FinalAnswer("answered", 200, relay::end);
    }

    /** Returns an answer that the entry generates itself. */
    FinalAnswer local(LocalAnswer answer) {
        attempts.releaseAnswer();
        return new FinalAnswer(answer.reason(), answer.status(), () -> answer.write(writer, names, plan.id()));
    }

    /**
     * Returns the answer to a request that ends without success.
     *
     * @param end end of the last attempt
     * @param retryAfter time after which the caller may retry a request that has not run
     */
    FinalAnswer withoutSuccess(AttemptEnd end, Duration retryAfter) {
        if (relay.started()) {
            return new FinalAnswer("aborted", 0, () -> writer.abort(end.reason()));
        }
        if (end.answer().isPresent() && end.answer().get().forwardable()) {
            return passedOn(end.answer().get());
        }
        return unsuccessful(502, end.reason(), end.reason(), retryAfter);
    }

    private FinalAnswer passedOn(BufferedAnswer failure) {
        int status = failure.head().status();
        return new FinalAnswer(
                "failure_passed_on",
                status,
                () -> writer.writeFull(
                        status, filter.forCaller(failure.head().headers()), failure.body(), failure.release()));
    }

    /** Returns the answer to a request that is ended while it waits or runs. */
    FinalAnswer interrupted(String reason, Duration retryAfter) {
        return relay.started()
                ? new FinalAnswer(reason + "_in_stream", 0, () -> writer.abort(reason))
                : unsuccessful(504, reason, reason + "_not_run", retryAfter);
    }

    private FinalAnswer unsuccessful(int statusIfRun, String reason, String reasonIfNotRun, Duration retryAfter) {
        return local(
                attempts.mayHaveRun()
                        ? LocalAnswer.outcomeUnknown(statusIfRun, reason)
                        : LocalAnswer.retryLater(reasonIfNotRun, retryAfter));
    }
}
