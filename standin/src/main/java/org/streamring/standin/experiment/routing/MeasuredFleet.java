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

/** The processes under measurement as this program sees them: engines, and sidecars behind proxies of its own. */
final class MeasuredFleet implements AutoCloseable {
    private static final JsonMapper MAPPER = new JsonMapper();
    private static final String CUT_DOMAIN = "domain-0";

    private final HttpClient http = HttpClient.newHttpClient();
    private final List<Member> members = new ArrayList<>();
    private final String platform;

    private record Member(String engineUrl, FaultProxy proxy, BackendServer server) {}

    /**
     * Prompt tokens since the engine started.
     *
     * @param read tokens of all prompts
     * @param cached those of them that were found in the cache
     */
    record PromptCounts(long read, long cached) {}

    /**
     * Creates one.
     *
     * @param platform address of the stand-in platform
     * @param sidecars one text each: name, port, failure domain and engine address, separated by commas
     */
    MeasuredFleet(String platform, List<String> sidecars) {
        this.platform = platform;
        for (String sidecar : sidecars) {
            String[] parts = sidecar.split(",", -1);
            FaultProxy proxy = new FaultProxy(Integer.parseInt(parts[1]));
            BackendServer server =
                    new BackendServer(parts[0], "assist-llm", parts[2], "127.0.0.1", proxy.port(), false);
            members.add(new Member(parts[3], proxy, server));
        }
    }

    int size() {
        return members.size();
    }

    /** Puts the sidecars into the box list. */
    void list() {
        Boxes boxes = new Boxes(members.stream().map(Member::server).toList());
        post(platform + "/control/boxes", RowText.write(boxes));
    }

    void faultOfFirst(EngineFaults faults) {
        post(members.get(0).engineUrl() + "/control/faults", RowText.write(faults));
    }

    void cutDomain(boolean cut) {
        members.stream()
                .filter(member -> member.server().failureDomain().equals(CUT_DOMAIN))
                .forEach(member -> member.proxy().setMode(cut ? FaultProxy.Mode.CUT : FaultProxy.Mode.PASS));
    }

    PromptCounts promptCounts() {
        long read = 0;
        long cached = 0;
        for (Member member : members) {
            try {
                JsonNode counts = MAPPER.readTree(post(member.engineUrl() + "/control/prompts", "{}"));
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
        members.forEach(member -> member.proxy().close());
    }
}
