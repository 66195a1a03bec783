package org.streamring.direct.suspect;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.streamring.kernel.suspect.SuspectId;
import org.streamring.kernel.suspect.SuspectReport;

/**
 * Converts reports to and from JSON:
 * {@code {"crashes": {server: {request: round, …}, …}, "cleared": {request: [server, …], …}}}.
 * Parts in another format are ignored, as newer versions of an entry may write them.
 */
final class SuspectRowCodec {
    private static final String CRASHES = "crashes";
    private static final String CLEARED = "cleared";
    /** Largest valid round. Requests are blocked long before it, so an entry never writes a larger number. */
    private static final int MAX_ROUND = 1_000;

    private final ObjectMapper json = new ObjectMapper();

    String write(SuspectReport report) {
        ObjectNode tree = json.createObjectNode();
        ObjectNode crashes = tree.putObject(CRASHES);
        new TreeMap<>(report.crashes()).forEach((server, requests) -> {
            ObjectNode rounds = crashes.putObject(server);
            requests.forEach((request, round) -> rounds.put(request.text(), round));
        });
        ObjectNode cleared = tree.putObject(CLEARED);
        report.cleared().forEach((request, servers) -> {
            ArrayNode names = cleared.putArray(request.text());
            new TreeSet<>(servers).forEach(names::add);
        });
        return tree.toString();
    }

    /** Reads a report; empty if the text is not a JSON object. */
    Optional<SuspectReport> read(String text) {
        try {
            JsonNode tree = json.readTree(text);
            return tree.isObject()
                    ? Optional.of(new SuspectReport(crashes(tree.path(CRASHES)), cleared(tree.path(CLEARED))))
                    : Optional.empty();
        } catch (JsonProcessingException e) {
            return Optional.empty();
        }
    }

    private static Map<String, Map<SuspectId, Integer>> crashes(JsonNode tree) {
        Map<String, Map<SuspectId, Integer>> crashes = new HashMap<>();
        tree.fields().forEachRemaining(server -> {
            Map<SuspectId, Integer> rounds = new HashMap<>();
            server.getValue().fields().forEachRemaining(request -> {
                if (isRound(request.getValue())) {
                    rounds.put(
                            SuspectId.request(request.getKey()),
                            request.getValue().asInt());
                }
            });
            crashes.put(server.getKey(), rounds);
        });
        return crashes;
    }

    private static boolean isRound(JsonNode value) {
        return value.isInt() && value.asInt() > 0 && value.asInt() <= MAX_ROUND;
    }

    private static Map<SuspectId, Set<String>> cleared(JsonNode tree) {
        Map<SuspectId, Set<String>> cleared = new HashMap<>();
        tree.fields().forEachRemaining(request -> {
            Set<String> servers = new HashSet<>();
            request.getValue().forEach(server -> servers.add(server.asText()));
            cleared.put(SuspectId.request(request.getKey()), servers);
        });
        return cleared;
    }
}
