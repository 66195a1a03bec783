package org.streamring.direct.request;

import io.netty.channel.EventLoop;
import java.util.Optional;
import java.util.Random;
import java.util.function.LongSupplier;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.streamring.direct.log.DecisionLog;
import org.streamring.direct.metrics.EntryMetrics;
import org.streamring.kernel.admission.LinkPace;
import org.streamring.kernel.route.RouteTable;
import org.streamring.model.route.Route;
import org.streamring.platform.node.ForwardingHeaders;

/**
 * What every request needs.
 *
 * @param loop event loop to which all of this is confined
 * @param clock milliseconds of a steady clock
 * @param random for choices among equals
 * @param failureDomain failure domain of this entry
 * @param names names of headers
 * @param routes configuration in force; empty until one is known
 * @param fleet backend servers
 * @param tokens prepaid tokens
 * @param suspects keeps requests from being sent that crash what runs them
 * @param takes whether a request on a route that begins now could end before a planned stop
 * @param link what this box's own link still has to carry
 * @param metrics counters
 * @param log decisions
 */
public record RequestServices(
        EventLoop loop,
        LongSupplier clock,
        Random random,
        String failureDomain,
        ForwardingHeaders names,
        Supplier<Optional<RouteTable>> routes,
        Fleet fleet,
        TokenSource tokens,
        SuspectGuard suspects,
        Predicate<Route> takes,
        LinkPace link,
        EntryMetrics metrics,
        DecisionLog log) {}
