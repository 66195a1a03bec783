package org.streamring.platform.http;

import java.util.List;
import org.streamring.kernel.table.BoxList;
import org.streamring.kernel.table.PlatformException;
import org.streamring.model.box.BackendServer;

/** Client of the box list over HTTP. */
public final class HttpBoxList implements BoxList {
    private final PlatformHttpClient client;

    HttpBoxList(PlatformHttpClient client) {
        this.client = client;
    }

    @Override
    public List<BackendServer> backendServers() throws PlatformException {
        return client.get("list-boxes", "/v1/boxes", Boxes.class).backendServers();
    }

    /** Response of the box list. */
    public record Boxes(List<BackendServer> backendServers) {}
}
