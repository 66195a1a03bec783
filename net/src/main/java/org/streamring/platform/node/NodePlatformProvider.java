package org.streamring.platform.node;

import io.netty.channel.EventLoop;
import java.util.Map;
import java.util.ServiceLoader;
import org.streamring.net.settings.SettingsException;

/** A kind of platform for entries that send requests directly; found by {@link ServiceLoader}. */
public interface NodePlatformProvider {
    /**
     * Opens the platform.
     *
     * @param environment environment variables of the process
     * @param loop event loop on which futures complete
     */
    NodePlatform open(Map<String, String> environment, EventLoop loop) throws SettingsException;

    /** Finds the only provider on the class path. */
    static NodePlatformProvider find() {
        return ServiceLoader.load(NodePlatformProvider.class)
                .findFirst()
                .orElseThrow(() -> new IllegalStateException("no platform for entries is on the class path"));
    }
}
