package org.streamring.direct.request;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.Optional;
import org.streamring.direct.backend.BackendRequest;
import org.streamring.direct.caller.CallerRequest;
import org.streamring.kernel.registry.BackendInstance;
import org.streamring.platform.node.ForwardingHeaders;

/** Builds the request to a replica from a caller's request. */
final class BackendRequestBuilder {
    private final ForwardingHeaders names;
    private final HeaderFilter filter;
    private final CallerRequest request;
    private final RequestPlan plan;

    BackendRequestBuilder(ForwardingHeaders names, HeaderFilter filter, CallerRequest request, RequestPlan plan) {
        this.names = names;
        this.filter = filter;
        this.request = request;
        this.plan = plan;
    }

    /**
     * Builds the request for one attempt.
     *
     * @param callerWaitMillis milliseconds that the caller still waits
     * @param lastEventId identifier of the last event that the caller received, if a stream is resumed
     */
    BackendRequest build(BackendInstance instance, long callerWaitMillis, Optional<String> lastEventId) {
        HttpHeaders headers =
                filter.forBackend(request.headers(), plan.account().isPresent());
        headers.set(names.deadline(), Math.max(1, callerWaitMillis));
        headers.set(names.expectedInstance(), instance.id());
        plan.account().ifPresent(account -> headers.set(names.account(), account.name()));
        if (plan.service().isEngine()) {
            headers.set(names.urgency(), plan.rank());
        }
        lastEventId.ifPresent(id -> headers.set(names.lastEventId(), id));
        if (request.headers().contains(HttpHeaderNames.CONTENT_LENGTH) || request.body().length > 0) {
            headers.set(HttpHeaderNames.CONTENT_LENGTH, request.body().length);
        }
        return new BackendRequest(
                plan.id(),
                request.method(),
                request.target(),
                headers,
                request.body(),
                plan.rank(),
                !plan.route().repeatable());
    }
}
