package org.streamring.platform.http;

import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import org.streamring.kernel.table.ObjectStore;
import org.streamring.kernel.table.PlatformException;
import org.streamring.platform.http.PlatformHttpClient.NotFoundException;
import org.streamring.platform.http.TableMessages.NamesAnswer;

/** Object store client over HTTP. */
final class HttpObjectStore implements ObjectStore {
    private static final String PATH = "/v1/objects";

    private final PlatformHttpClient client;

    HttpObjectStore(PlatformHttpClient client) {
        this.client = client;
    }

    @Override
    public void put(String name, byte[] content) throws PlatformException {
        client.put("put-object", PATH + "?name=" + encode(name), content);
    }

    @Override
    public Optional<byte[]> get(String name) throws PlatformException {
        try {
            return Optional.of(client.getBytes("get-object", PATH + "?name=" + encode(name)));
        } catch (NotFoundException e) {
            return Optional.empty();
        }
    }

    @Override
    public List<String> list(String prefix) throws PlatformException {
        return client.get("list-objects", PATH + "?prefix=" + encode(prefix), NamesAnswer.class)
                .names();
    }

    private static String encode(String text) {
        return URLEncoder.encode(text, StandardCharsets.UTF_8);
    }
}
