package org.streamring.platform.node;

import io.netty.channel.EventLoop;
import java.util.Map;
import java.util.ServiceLoader;
import org.streamring.net.settings.SettingsException;

/** Service provider for platforms of entries that send requests directly; discovered by {@link ServiceLoader}. */
public interface NodePlatformProvider {
    /**
     * Opens the platform of a process.
     *
     * @param environment environment variables of the process
     * @param loop event loop on which futures complete
     * @throws SettingsException if the settings are invalid
     */
    NodePlatform open(Map<String, String> environment, EventLoop loop) throws SettingsException;

    /**
     * Returns the provider on the class path.
     *
     * @throws IllegalStateException if there is none
     */
    static NodePlatformProvider find() {
        return ServiceLoader.load(NodePlatformProvider.class)
                .findFirst()
                .orElseThrow(() -> new IllegalStateException("no NodePlatformProvider found on the class path"));
    }
}
