package org.streamring.direct.request;

import io.netty.channel.EventLoop;
import java.util.Optional;
import java.util.Random;
import java.util.function.LongSupplier;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.streamring.direct.log.DecisionLog;
import org.streamring.direct.memory.BodyMemory;
import org.streamring.direct.metrics.EntryMetrics;
import org.streamring.kernel.admission.LinkBacklog;
import org.streamring.kernel.route.RouteTable;
import org.streamring.model.route.Route;
import org.streamring.platform.node.ForwardingHeaders;

/**
 * Shared services and state that every request needs.
 *
 * @param loop event loop to which all of these objects are confined
 * @param clock monotonic clock, in milliseconds
 * @param random random source for choices among equal candidates
 * @param failureDomain failure domain of this entry
 * @param names names of headers
 * @param routes routes of the configuration in force; empty until a configuration was read
 * @param fleet backend servers
 * @param tokens source of prepaid tokens
 * @param streams where streams began
 * @param suspects blocks requests that crash the servers which run them
 * @param canFinishBeforeStop whether a request that starts on a route now can finish before a planned stop
 * @param link backlog of this box's own network link
 * @param memory memory for the bodies of requests and answers
 * @param metrics metrics of this entry
 * @param log decision log
 */
public record RequestServices(
        EventLoop loop,
        LongSupplier clock,
        Random random,
        String failureDomain,
        ForwardingHeaders names,
        Supplier<Optional<RouteTable>> routes,
        BackendFleet fleet,
        TokenSource tokens,
        StreamOrigins streams,
        CrashSuspectGuard suspects,
        Predicate<Route> canFinishBeforeStop,
        LinkBacklog link,
        BodyMemory memory,
        EntryMetrics metrics,
        DecisionLog log) {}
