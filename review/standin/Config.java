package standin;

/** A small configuration of the operator: a model service, a plain service, one tenant. */
public final class Config {
    private Config() {}

    public static String text(long version, long prepaid) {
        return text(version, prepaid, 15_000, "{}");
    }

    /** Limits as fleetbench wire shows them for sebeta-ring. */
    public static final String LIMITS =
            "{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}";

    public static String text(long version, long prepaid, long timeoutMillis, String limits) {
        String route = "{\"name\":\"%s\",\"host\":\"h.example\",\"path_prefix\":\"/%s/\",\"kind\":\"%s\",\"timeout_ms\":%d,"
                + "\"target_latency_ms\":800,\"priority\":1,\"service\":\"%s\",\"max_attempts\":%d,\"public\":false,"
                + "\"resumable\":%s,\"target_gap_ms\":400}";
        String routes = String.join(
                ",",
                route.formatted("r1", "idem", "idempotent", timeoutMillis, "app", 2, "false"),
                route.formatted("r2", "once", "non_idempotent", timeoutMillis, "app", 1, "false"),
                route.formatted("r3", "resume", "streaming", timeoutMillis, "llm", 2, "true"),
                route.formatted("r4", "stream", "streaming", timeoutMillis, "llm", 1, "false"));
        return ("{\"version\":%d,\"routes\":[%s],\"services\":[{\"name\":\"llm\",\"health_path\":\"/health\",\"max_connections\":360,"
                        + "\"engine\":{\"slots\":64,\"kv_capacity_tokens\":562615,\"kv_token_bytes\":18432,\"stride\":5}},"
                        + "{\"name\":\"app\",\"health_path\":\"/health\",\"max_connections\":360}],\"limits\":%s,"
                        + "\"tenants\":[{\"name\":\"hotel\",\"api_keys\":[\"key-hotel\"],\"priority\":1,\"prepaid\":%d}]}")
                .formatted(version, routes, limits.equals("{}") ? LIMITS : limits, prepaid);
    }
}
