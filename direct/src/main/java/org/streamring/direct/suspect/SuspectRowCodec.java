package org.streamring.direct.suspect;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.jspecify.annotations.Nullable;
import org.streamring.kernel.suspect.BrokenAttempt;
import org.streamring.kernel.suspect.SuspectId;
import org.streamring.kernel.suspect.SuspectReport;

/**
 * Converts reports to and from JSON:
 * {@code {"crashes": {server: {request: round, …}, …},
 * "prompts": {server: {request: {"account": account, "parts": {part: round, …}}, …}, …},
 * "cleared": {suspect: [server, …], …}}}.
 *
 * <p>Entries of the version before read and write {@code crashes} and {@code cleared} only. Parts in another format are
 * ignored, as newer versions of an entry may write them.
 */
final class SuspectRowCodec {
    private static final String CRASHES = "crashes";
    private static final String PROMPTS = "prompts";
    private static final String ACCOUNT = "account";
    private static final String PARTS = "parts";
    private static final String CLEARED = "cleared";
    /** Largest valid round. Requests are blocked long before it, so an entry never writes a larger number. */
    private static final int MAX_ROUND = 1_000;

    private final ObjectMapper json = new ObjectMapper();

    String write(SuspectReport report) {
        ObjectNode tree = json.createObjectNode();
        ObjectNode crashes = tree.putObject(CRASHES);
        ObjectNode prompts = tree.putObject(PROMPTS);
        new TreeMap<>(report.crashes()).forEach((server, attempts) -> {
            ObjectNode requests = crashes.putObject(server);
            ObjectNode promptsOfServer = json.createObjectNode();
            attempts.forEach(attempt -> write(attempt, requests, promptsOfServer));
            if (!promptsOfServer.isEmpty()) {
                prompts.set(server, promptsOfServer);
            }
        });
        ObjectNode cleared = tree.putObject(CLEARED);
        report.cleared().forEach((suspect, servers) -> {
            ArrayNode names = cleared.putArray(suspect.text());
            new TreeSet<>(servers).forEach(names::add);
        });
        return tree.toString();
    }

    private void write(BrokenAttempt attempt, ObjectNode requests, ObjectNode prompts) {
        ObjectNode parts = json.createObjectNode();
        attempt.rounds().forEach((suspect, round) -> {
            if (suspect.kind() == SuspectId.Kind.REQUEST) {
                requests.put(suspect.text(), round);
            } else {
                parts.put(suspect.digest(), round);
            }
        });
        if (!parts.isEmpty()) {
            ObjectNode prompt = prompts.putObject(attempt.request().text());
            prompt.put(ACCOUNT, attempt.account().digest());
            prompt.set(PARTS, parts);
        }
    }

    /** Reads a report; empty if the text is not a JSON object. */
    Optional<SuspectReport> read(String text) {
        try {
            JsonNode tree = json.readTree(text);
            return tree.isObject()
                    ? Optional.of(new SuspectReport(crashes(tree), cleared(tree.path(CLEARED))))
                    : Optional.empty();
        } catch (JsonProcessingException e) {
            return Optional.empty();
        }
    }

    private static Map<String, List<BrokenAttempt>> crashes(JsonNode tree) {
        Map<String, Map<SuspectId, BrokenAttempt>> attempts = new HashMap<>();
        tree.path(CRASHES).fields().forEachRemaining(server -> {
            Map<SuspectId, BrokenAttempt> ofServer = attempts.computeIfAbsent(server.getKey(), any -> new HashMap<>());
            server.getValue().fields().forEachRemaining(request -> {
                if (isRound(request.getValue())) {
                    SuspectId id = SuspectId.parse(request.getKey());
                    ofServer.put(id, withoutPrompt(id, request.getValue().asInt()));
                }
            });
        });
        tree.path(PROMPTS).fields().forEachRemaining(server -> {
            Map<SuspectId, BrokenAttempt> ofServer = attempts.computeIfAbsent(server.getKey(), any -> new HashMap<>());
            server.getValue().fields().forEachRemaining(request -> {
                SuspectId id = SuspectId.parse(request.getKey());
                ofServer.put(id, withPrompt(id, request.getValue(), ofServer.get(id)));
            });
        });
        Map<String, List<BrokenAttempt>> crashes = new HashMap<>();
        attempts.forEach((server, ofServer) -> crashes.put(server, new ArrayList<>(ofServer.values())));
        return crashes;
    }

    private static BrokenAttempt withoutPrompt(SuspectId request, int round) {
        return new BrokenAttempt(request, SuspectId.account(""), Map.of(request, round));
    }

    private static BrokenAttempt withPrompt(SuspectId request, JsonNode prompt, @Nullable BrokenAttempt attempt) {
        Map<SuspectId, Integer> rounds = new HashMap<>(attempt == null ? Map.of() : attempt.rounds());
        prompt.path(PARTS).fields().forEachRemaining(part -> {
            if (isRound(part.getValue())) {
                rounds.put(SuspectId.promptPart(part.getKey()), part.getValue().asInt());
            }
        });
        return new BrokenAttempt(request, SuspectId.account(prompt.path(ACCOUNT).asText()), rounds);
    }

    private static boolean isRound(JsonNode value) {
        return value.isInt() && value.asInt() > 0 && value.asInt() <= MAX_ROUND;
    }

    private static Map<SuspectId, Set<String>> cleared(JsonNode tree) {
        Map<SuspectId, Set<String>> cleared = new HashMap<>();
        tree.fields().forEachRemaining(suspect -> {
            Set<String> servers = new HashSet<>();
            suspect.getValue().forEach(server -> servers.add(server.asText()));
            cleared.put(SuspectId.parse(suspect.getKey()), servers);
        });
        return cleared;
    }
}
