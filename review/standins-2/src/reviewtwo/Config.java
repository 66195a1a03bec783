package reviewtwo;

import java.util.LinkedHashMap;
import java.util.Map;

/** The operator's configuration of the small deployment, and the headers of its clients. */
final class Config {
    static final String KEY = "n2ctnfzs989anu6wsjnb";

    private Config() {}

    static String text() {
        return text(7, 100_000_000L);
    }

    static String text(int version, long prepaid) {
        return text(version, prepaid, 0);
    }

    /** Returns a configuration with further routes, which no client uses. */
    static String text(int version, long prepaid, int more) {
        StringBuilder idle = new StringBuilder();
        for (int i = 0; i < more; i++) {
            String name = Integer.toString(1_000_000 + 7 * i, 36);
            idle.append(",{\"name\":\"r-").append(name).append("\",\"host\":\"h").append(name)
                    .append(".example\",\"path_prefix\":\"/p").append(name)
                    .append("/\",\"kind\":\"idempotent\",\"timeout_ms\":2000,\"target_latency_ms\":300,")
                    .append("\"priority\":2,\"service\":\"portal\",\"max_attempts\":2,\"public\":false}");
        }
        return "{\"version\":" + version + ",\"routes\":["
                + "{\"name\":\"r-draft\",\"host\":\"site.example\",\"path_prefix\":\"/draft/\",\"kind\":\"streaming\","
                + "\"timeout_ms\":15000,\"target_latency_ms\":800,\"priority\":0,\"service\":\"llm\",\"max_attempts\":2,"
                + "\"public\":false,\"sticky\":true,\"resumable\":true,\"target_gap_ms\":400},"
                + "{\"name\":\"r-once\",\"host\":\"site.example\",\"path_prefix\":\"/once/\",\"kind\":\"streaming\","
                + "\"timeout_ms\":15000,\"target_latency_ms\":800,\"priority\":1,\"service\":\"llm\",\"max_attempts\":1,"
                + "\"public\":false,\"sticky\":true,\"resumable\":false,\"target_gap_ms\":400},"
                + "{\"name\":\"r-receipt\",\"host\":\"site.example\",\"path_prefix\":\"/receipt/\","
                + "\"kind\":\"non_idempotent\",\"timeout_ms\":2000,\"target_latency_ms\":300,\"priority\":2,"
                + "\"service\":\"portal\",\"max_attempts\":1,\"public\":false},"
                + "{\"name\":\"r-status\",\"host\":\"site.example\",\"path_prefix\":\"/status/\","
                + "\"kind\":\"idempotent\",\"timeout_ms\":2000,\"target_latency_ms\":300,\"priority\":2,"
                + "\"service\":\"portal\",\"max_attempts\":2,\"public\":false}" + idle + "],"
                + "\"services\":[{\"name\":\"llm\",\"health_path\":\"/health\",\"max_connections\":360,"
                + "\"protocol\":\"h1\",\"tls\":false,\"engine\":{\"slots\":64,\"kv_capacity_tokens\":562615,"
                + "\"kv_token_bytes\":18432,\"link_mbps\":370000.0,\"moves\":true,\"backups\":true,\"stride\":5,"
                + "\"most\":12,\"pin_ms\":4000.0,\"hold_ms\":2000.0,\"handle_s\":5.0,\"models\":[{\"name\":\"m\"}]}},"
                + "{\"name\":\"portal\",\"health_path\":\"/health\",\"max_connections\":96,\"protocol\":\"h1\","
                + "\"tls\":false,\"cold_per_s\":10.0}],"
                + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,"
                + "\"idle_timeout_ms\":15000},"
                + "\"tenants\":[{\"name\":\"hule930\",\"api_keys\":[\"" + KEY + "\"],\"priority\":1,\"prepaid\":"
                + prepaid + "}]}";
    }

    /** Headers of a request to a stream. */
    static Map<String, String> headers(String id, String prompt) {
        Map<String, String> headers = plainHeaders(id);
        headers.put(Names.of("model"), "m");
        headers.put(Names.of("tokens"), "500,400");
        headers.put(Names.of("prefix"), Integer.toHexString(prompt.hashCode()) + ":500");
        return headers;
    }

    static Map<String, String> plainHeaders(String id) {
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("Host", "site.example");
        headers.put(Names.of("requestid"), id);
        headers.put("Authorization", "Bearer " + KEY);
        return headers;
    }
}
