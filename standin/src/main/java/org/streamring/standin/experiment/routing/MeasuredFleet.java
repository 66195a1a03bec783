package org.streamring.standin.experiment.routing;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import org.streamring.kernel.table.RowText;
import org.streamring.model.box.BackendServer;
import org.streamring.platform.http.HttpBoxList.Boxes;
import org.streamring.standin.engine.EngineFaults;
import org.streamring.standin.proxy.FaultProxy;

/** Controls the measured engines and sidecars; connections to the sidecars pass through proxies of this process. */
final class MeasuredFleet implements AutoCloseable {
    private static final JsonMapper MAPPER = new JsonMapper();
    private static final String CUT_DOMAIN = "domain-0";

    private final HttpClient http = HttpClient.newHttpClient();
    private final List<MeasuredServer> servers = new ArrayList<>();
    private final String platform;

    private record MeasuredServer(String engineUrl, FaultProxy proxy, BackendServer backendServer) {}

    /**
     * Prompt tokens since the start of the engines.
     *
     * @param read number of tokens of all prompts
     * @param cached number of these tokens that were found in the caches
     */
    record PromptCounts(long read, long cached) {}

    /**
     * Starts a proxy for each sidecar.
     *
     * @param platform address of the stand-in platform
     * @param sidecars name, port, failure domain and engine address of each sidecar, separated by commas
     */
    MeasuredFleet(String platform, List<String> sidecars) {
        this.platform = platform;
        for (String sidecar : sidecars) {
            String[] parts = sidecar.split(",", -1);
            FaultProxy proxy = new FaultProxy(Integer.parseInt(parts[1]));
            BackendServer server =
                    new BackendServer(parts[0], "assist-llm", parts[2], "127.0.0.1", proxy.port(), false);
            servers.add(new MeasuredServer(parts[3], proxy, server));
        }
    }

    int size() {
        return servers.size();
    }

    /** Sends the box list with all sidecars to the stand-in platform. */
    void publishBoxList() {
        Boxes boxes =
                new Boxes(servers.stream().map(MeasuredServer::backendServer).toList());
        post(platform + "/control/boxes", RowText.write(boxes));
    }

    void setFaultsOfFirstEngine(EngineFaults faults) {
        post(servers.get(0).engineUrl() + "/control/faults", RowText.write(faults));
    }

    void setDomainCut(boolean cut) {
        servers.stream()
                .filter(server -> server.backendServer().failureDomain().equals(CUT_DOMAIN))
                .forEach(server -> server.proxy().setMode(cut ? FaultProxy.Mode.CUT : FaultProxy.Mode.PASS));
    }

    PromptCounts promptCounts() {
        long read = 0;
        long cached = 0;
        for (MeasuredServer server : servers) {
            try {
                JsonNode counts = MAPPER.readTree(post(server.engineUrl() + "/control/prompts", "{}"));
                read += counts.path("read").asLong();
                cached += counts.path("cached").asLong();
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }
        return new PromptCounts(read, cached);
    }

    private String post(String url, String body) {
        HttpRequest request = HttpRequest.newBuilder(URI.create(url))
                .POST(HttpRequest.BodyPublishers.ofString(body))
                .build();
        try {
            return http.send(request, HttpResponse.BodyHandlers.ofString()).body();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException(e);
        }
    }

    @Override
    public void close() {
        servers.forEach(server -> server.proxy().close());
    }
}
