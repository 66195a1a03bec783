package org.streamring.platform;

import java.net.URI;
import java.time.Duration;
import java.util.ServiceLoader;
import org.streamring.kernel.table.BoxList;
import org.streamring.kernel.table.ObjectStore;
import org.streamring.kernel.table.PlatformTable;

/** A kind of platform. Implementations register themselves with {@link ServiceLoader}. */
public interface PlatformProvider {
    /** Name used in settings. */
    String name();

    /**
     * Opens the platform's services.
     *
     * @param base address of the platform
     * @param key the platform's access key of this process or operator
     * @param timeout longest wait for one answer
     */
    Platform open(URI base, String key, Duration timeout);

    /** Finds a provider by name. */
    static PlatformProvider named(String name) {
        return ServiceLoader.load(PlatformProvider.class).stream()
                .map(ServiceLoader.Provider::get)
                .filter(provider -> provider.name().equals(name))
                .findFirst()
                .orElseThrow(() -> new IllegalArgumentException("no platform provider is named " + name));
    }

    /**
     * The services of one platform.
     *
     * @param table transactional table
     * @param objects object store
     * @param boxes list of boxes
     * @param closer releases what the adapters hold
     */
    record Platform(PlatformTable table, ObjectStore objects, BoxList boxes, Runnable closer) implements AutoCloseable {
        @Override
        public void close() {
            closer.run();
        }
    }
}
