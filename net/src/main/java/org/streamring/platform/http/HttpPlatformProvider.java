package org.streamring.platform.http;

import java.net.URI;
import java.time.Duration;
import org.streamring.platform.PlatformProvider;

/** Provider of platforms that are accessed over HTTP and JSON. */
public final class HttpPlatformProvider implements PlatformProvider {
    @Override
    public String name() {
        return "http";
    }

    @Override
    public Platform open(URI base, String key, Duration timeout) {
        PlatformHttpClient client = new PlatformHttpClient(base, key, timeout);
        return new Platform(
                new HttpPlatformTable(client), new HttpObjectStore(client), new HttpBoxList(client), client::close);
    }
}
