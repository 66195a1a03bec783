package org.streamring.platform;

import java.net.URI;
import java.time.Duration;
import java.util.ServiceLoader;
import org.streamring.kernel.table.BoxList;
import org.streamring.kernel.table.ObjectStore;
import org.streamring.kernel.table.PlatformTable;

/** Service provider for a kind of platform; discovered by {@link ServiceLoader}. */
public interface PlatformProvider {
    /** Returns the name by which settings select this provider. */
    String name();

    /**
     * Opens the services of the platform.
     *
     * @param base address of the platform
     * @param key access key of the process or operator
     * @param timeout timeout of a single call
     */
    Platform open(URI base, String key, Duration timeout);

    /**
     * Returns the provider with the name.
     *
     * @throws IllegalArgumentException if there is none on the class path
     */
    static PlatformProvider named(String name) {
        return ServiceLoader.load(PlatformProvider.class).stream()
                .map(ServiceLoader.Provider::get)
                .filter(provider -> provider.name().equals(name))
                .findFirst()
                .orElseThrow(() -> new IllegalArgumentException("no platform provider is named " + name));
    }

    /**
     * Services of a platform.
     *
     * @param table transactional table
     * @param objects object store
     * @param boxes list of boxes
     * @param closer releases the resources of the adapters
     */
    record Platform(PlatformTable table, ObjectStore objects, BoxList boxes, Runnable closer) implements AutoCloseable {
        @Override
        public void close() {
            closer.run();
        }
    }
}
