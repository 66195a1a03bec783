package org.streamring.direct.request;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.HashSet;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import org.streamring.platform.node.ForwardingHeaders;

/** Selects the headers to forward to the backend server or to the caller. */
final class HeaderFilter {
    private static final Set<String> HOP_BY_HOP_HEADERS = Set.of(
            "connection",
            "keep-alive",
            "proxy-connection",
            "proxy-authenticate",
            "proxy-authorization",
            "te",
            "trailer",
            "transfer-encoding",
            "upgrade",
            "expect",
            "content-length");

    private final ForwardingHeaders names;
    private final Set<String> reserved = new HashSet<>();

    HeaderFilter(ForwardingHeaders names) {
        this.names = names;
        names.reserved().forEach(name -> reserved.add(name.toLowerCase(Locale.ROOT)));
    }

    /** Returns the headers of a caller's request that are forwarded to the backend server. */
    HttpHeaders forBackend(HttpHeaders from, boolean withoutKey) {
        HttpHeaders kept = withoutHopByHopHeaders(from);
        reserved.forEach(kept::remove);
        if (withoutKey) {
            kept.remove("authorization");
        }
        return kept;
    }

    /** Returns the headers of a backend server's answer that are forwarded to the caller. */
    HttpHeaders forCaller(HttpHeaders from) {
        HttpHeaders kept = withoutHopByHopHeaders(from);
        kept.remove(names.notRun());
        return kept;
    }

    private static HttpHeaders withoutHopByHopHeaders(HttpHeaders from) {
        Set<String> dropped = new HashSet<>(HOP_BY_HOP_HEADERS);
        for (String value : from.getAll("connection")) {
            for (String named : value.split(",", -1)) {
                dropped.add(named.trim().toLowerCase(Locale.ROOT));
            }
        }
        HttpHeaders kept = new DefaultHttpHeaders(false);
        for (Map.Entry<String, String> header : from) {
            if (!dropped.contains(header.getKey().toLowerCase(Locale.ROOT))) {
                kept.add(header.getKey(), header.getValue());
            }
        }
        return kept;
    }
}
