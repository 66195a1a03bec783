package org.streamring.direct.request;

import java.time.Duration;
import java.util.List;
import org.streamring.model.route.Route;
import org.streamring.model.route.RouteKind;
import org.streamring.model.route.RouteTarget;

/** Routes for tests. */
final class TestRoutes {
    /** Streams that may be resumed, with a timeout of 15 s. */
    static final Route RESUMABLE_STREAMS = new Route(
            "r",
            "h.example",
            "/a/",
            RouteKind.STREAM,
            true,
            true,
            0,
            2,
            Duration.ofSeconds(15),
            Duration.ofSeconds(1),
            Duration.ofSeconds(1),
            List.of(new RouteTarget("assist", 1)));

    private TestRoutes() {}
}
