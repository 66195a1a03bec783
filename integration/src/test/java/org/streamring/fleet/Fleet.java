package org.streamring.fleet;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Stream;
import org.awaitility.Awaitility;
import org.streamring.cli.OperatorClient;
import org.streamring.kernel.config.DeclarationDiff;
import org.streamring.kernel.ledger.BillItem;
import org.streamring.kernel.table.PlatformException;
import org.streamring.kernel.table.Row;
import org.streamring.kernel.table.RowKeys;
import org.streamring.model.box.BackendServer;
import org.streamring.model.declaration.Declarations;
import org.streamring.net.settings.DeclarationReader;
import org.streamring.net.settings.SettingsException;
import org.streamring.platform.BillArchive;
import org.streamring.platform.PlatformProvider;
import org.streamring.standin.engine.EngineSettings;
import org.streamring.standin.engine.EngineStandin;
import org.streamring.standin.engine.RunRecord;
import org.streamring.standin.platform.PlatformStandin;
import org.streamring.standin.proxy.FaultProxy;
import org.streamring.standin.service.ServiceStandin;

/**
 * A small fleet for tests. Entries and sidecars run as separate processes behind fault-injecting proxies; the stand-ins
 * for the platform, the engines and a plain service run inside the test process.
 */
public final class Fleet implements AutoCloseable {
    public static final String FLEET_KEY = "integration-fleet-key";
    public static final String PLATFORM_KEY = "integration-platform-key";
    public static final String OPERATOR_KEY = "integration-operator-key";
    public static final String HOSPITAL_KEY = "quickstart-hospital-plant";
    public static final String CREWS_KEY = "quickstart-hotel-crews";
    public static final String BUDGET = "hospitals";
    private static final Duration TIMEOUT = Duration.ofSeconds(60);
    private static final JsonMapper MAPPER = new JsonMapper();

    public final PlatformStandin platform = new PlatformStandin(0, PLATFORM_KEY, OPERATOR_KEY);
    public final List<EngineStandin> engines = new ArrayList<>();
    public final ServiceStandin service;
    public final Map<String, ProgramProcess> entries = new TreeMap<>();
    public final Map<String, ProgramProcess> sidecars = new TreeMap<>();
    public final Map<String, FaultProxy> sidecarProxies = new TreeMap<>();
    public final Map<String, FaultProxy> platformProxies = new TreeMap<>();
    private final Map<String, String> backendUrls = new LinkedHashMap<>();
    private final Map<String, BackendServer> boxes = new TreeMap<>();
    private final HttpClient http =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private final PlatformProvider.Platform operatorAccess;
    private final Path workDirectory;
    private String ledgerProfile = "patient";

    public Fleet(int engineCount, EngineSettings engineSettings, long serviceMillis) {
        try {
            workDirectory = Files.createTempDirectory("streamring-fleet");
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        service = new ServiceStandin(0, serviceMillis);
        for (int i = 1; i <= engineCount; i++) {
            EngineStandin engine = new EngineStandin(0, engineSettings);
            engines.add(engine);
            startSidecar("assist-" + i, engine.url());
        }
        startSidecar("control-1", service.url());
        for (int i = 1; i <= engineCount; i++) {
            addToBoxList("assist-" + i, "assist-llm");
        }
        addToBoxList("control-1", "control-api");
        operatorAccess =
                PlatformProvider.named("http").open(URI.create(platform.url()), OPERATOR_KEY, Duration.ofSeconds(5));
    }

    public static Fleet small() {
        return new Fleet(2, EngineSettings.fast(), 5);
    }

    public Fleet withLedgerProfile(String profile) {
        ledgerProfile = profile;
        return this;
    }

    /** Applies the example declarations, starts the entries and waits until they serve requests. */
    public Fleet start(int entryCount) throws PlatformException, SettingsException {
        apply(DeclarationReader.read(List.of(root().resolve("examples/sebeta.toml"))));
        for (int i = 1; i <= entryCount; i++) {
            startEntry("entry-" + i);
        }
        awaitServing();
        return this;
    }

    public OperatorClient operator(String author) {
        return new OperatorClient(operatorAccess.table(), author);
    }

    public OperatorClient.Outcome apply(Declarations wanted) throws PlatformException {
        OperatorClient operator = operator("test");
        OperatorClient.State state = operator.state();
        DeclarationDiff diff = DeclarationDiff.between(state.declarations(), wanted);
        return operator.change(state, new OperatorClient.Wanted("apply", diff.items(), diff.grants(), List.of()));
    }

    public static Path root() {
        return Path.of("").toAbsolutePath().getParent();
    }

    private void startSidecar(String name, String backendUrl) {
        backendUrls.put(name, backendUrl);
        sidecars.put(
                name, ProgramProcess.start(workDirectory, "sidecar", name, """
                name = "%s"
                fleet_key = "%s"
                listen.port = 0
                backend.url = "%s"
                stop.wait = "30s"
                """.formatted(name, FLEET_KEY, backendUrl)));
    }

    /** Starts a proxy for a sidecar and adds the proxy's address to the box list. */
    private void addToBoxList(String name, String serviceName) {
        FaultProxy proxy = new FaultProxy(sidecars.get(name).port());
        FaultProxy previous = sidecarProxies.put(name, proxy);
        if (previous != null) {
            previous.close();
        }
        boxes.put(
                name,
                new BackendServer(name, serviceName, "domain-" + boxes.size() % 2, "127.0.0.1", proxy.port(), false));
        platform.setBoxes(List.copyOf(boxes.values()));
    }

    public void restartSidecar(String name) {
        startSidecar(name, backendUrls.get(name));
        addToBoxList(name, boxes.get(name).service());
    }

    public void startEntry(String name) {
        FaultProxy proxy = platformProxies.computeIfAbsent(
                name, key -> new FaultProxy(URI.create(platform.url()).getPort()));
        entries.put(name, ProgramProcess.start(workDirectory, "entry", name, """
                name = "%s"
                failure_domain = "domain-0"
                fleet_key = "%s"
                listen.port = 0
                platform.url = "%s"
                platform.key = "%s"
                platform.timeout = "500ms"
                ledger.profile = "%s"
                ledger.interval = "300ms"
                config.interval = "300ms"
                boxes.interval = "300ms"
                peers.ping_interval = "300ms"
                recovery.interval = "500ms"
                recovery.suspect_after = "15s"
                stop.wait = "30s"
                """.formatted(
                        name, FLEET_KEY, proxy.url(), PLATFORM_KEY, ledgerProfile)));
    }

    public String url(String entry) {
        return "http://127.0.0.1:" + entries.get(entry).port();
    }

    /** Waits until every entry serves model requests and plain requests. */
    public void awaitServing() {
        for (String entry : entries.keySet()) {
            Awaitility.await("entry serves: " + entry).atMost(TIMEOUT).until(() -> {
                boolean plain = plain(entry, "GET", "/warm", "").statusCode() == 200;
                return plain && chat(entry, HOSPITAL_KEY, 1, false, "").statusCode() == 200;
            });
        }
    }

    public static String chatBody(int tokens, boolean stream) {
        return """
                {"model":"assist","messages":[{"role":"user","content":"hello"}],"max_tokens":%d,\
                "standin_answer_tokens":%d,"stream":%s}""".formatted(tokens, tokens, stream);
    }

    public HttpRequest.Builder request(String entry, String path, String key) {
        return HttpRequest.newBuilder(URI.create(url(entry) + path))
                .timeout(TIMEOUT)
                .header("Authorization", "Bearer " + key);
    }

    public HttpResponse<String> chat(String entry, String key, int tokens, boolean stream, String idempotencyKey) {
        return send(chatRequest(entry, key, tokens, stream, idempotencyKey));
    }

    public CompletableFuture<HttpResponse<String>> chatAsync(
            String entry, String key, int tokens, boolean stream, String idempotencyKey) {
        return http.sendAsync(
                chatRequest(entry, key, tokens, stream, idempotencyKey), HttpResponse.BodyHandlers.ofString());
    }

    private HttpRequest chatRequest(String entry, String key, int tokens, boolean stream, String idempotencyKey) {
        HttpRequest.Builder request = request(entry, "/v1/chat/completions", key)
                .POST(HttpRequest.BodyPublishers.ofString(chatBody(tokens, stream)));
        if (!idempotencyKey.isEmpty()) {
            request.header("Idempotency-Key", idempotencyKey);
        }
        return request.build();
    }

    public HttpResponse<String> plain(String entry, String method, String path, String idempotencyKey) {
        return send(plainRequest(entry, method, path, idempotencyKey));
    }

    public CompletableFuture<HttpResponse<String>> plainAsync(
            String entry, String method, String path, String idempotencyKey) {
        return http.sendAsync(plainRequest(entry, method, path, idempotencyKey), HttpResponse.BodyHandlers.ofString());
    }

    private HttpRequest plainRequest(String entry, String method, String path, String idempotencyKey) {
        HttpRequest.Builder request = request(entry, "/services/control-api" + path, HOSPITAL_KEY)
                .method(method, HttpRequest.BodyPublishers.ofString("{}"));
        if (!idempotencyKey.isEmpty()) {
            request.header("Idempotency-Key", idempotencyKey);
        }
        return request.build();
    }

    public HttpResponse<String> send(HttpRequest request) {
        try {
            return http.send(request, HttpResponse.BodyHandlers.ofString());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException(e);
        }
    }

    public HttpClient http() {
        return http;
    }

    /** Returns the metrics served on the admin port of a process. */
    public String metrics(int adminPort) {
        URI uri = URI.create("http://127.0.0.1:" + adminPort + "/metrics");
        return send(HttpRequest.newBuilder(uri).build()).body();
    }

    public static String outcome(HttpResponse<String> response) {
        return response.headers().firstValue("Streamring-Outcome").orElse("");
    }

    public static String errorCode(HttpResponse<String> response) {
        try {
            JsonNode body = MAPPER.readTree(response.body());
            return body.path("error").path("code").asText();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    public long rowAmount(String rowKey) {
        return platform.table().read(List.of(rowKey)).stream()
                .mapToLong(Row::amount)
                .findFirst()
                .orElse(0);
    }

    public long leasedTokens(String budget) {
        return rowAmount(RowKeys.granted(budget))
                - rowAmount(RowKeys.settled(budget))
                - rowAmount(RowKeys.remaining(budget))
                - rowAmount(RowKeys.held(budget));
    }

    /** Stops all entries gracefully, so that every lease is settled or returned. */
    public void stopEntries() {
        entries.values().forEach(ProgramProcess::requestStop);
        entries.values().forEach(ProgramProcess::awaitExit);
    }

    public List<BillItem> bills() throws PlatformException {
        return new BillArchive(operatorAccess.objects()).items();
    }

    /** Returns the runs recorded by all engines. */
    public List<RunRecord> engineRecords() {
        return engines.stream().flatMap(engine -> engine.records().stream()).toList();
    }

    /** Returns the tokens recorded by all engines, by attempt. */
    public Map<String, Long> engineTokens() {
        Map<String, Long> tokens = new TreeMap<>();
        engineRecords().forEach(record -> tokens.merge(record.attempt(), record.tokens(), Long::sum));
        return tokens;
    }

    public Map<String, Long> billedTokens() throws PlatformException {
        Map<String, Long> tokens = new TreeMap<>();
        bills().forEach(item -> tokens.merge(item.attempt(), item.tokens(), Long::sum));
        return tokens;
    }

    public long settledTokens() {
        return Stream.of("installers", "hospitals", "trial")
                .mapToLong(budget -> rowAmount(RowKeys.settled(budget)))
                .sum();
    }

    @Override
    public void close() {
        entries.values().forEach(ProgramProcess::kill);
        sidecars.values().forEach(ProgramProcess::kill);
        sidecarProxies.values().forEach(FaultProxy::close);
        platformProxies.values().forEach(FaultProxy::close);
        operatorAccess.close();
        engines.forEach(EngineStandin::close);
        service.close();
        platform.close();
    }
}
