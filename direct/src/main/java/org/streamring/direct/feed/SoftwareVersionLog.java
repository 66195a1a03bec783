package org.streamring.direct.feed;

import java.util.Map;
import java.util.TreeMap;
import java.util.function.ToIntFunction;
import java.util.stream.Collectors;
import org.streamring.direct.log.DecisionLog;
import org.streamring.direct.metrics.EntryMetrics;
import org.streamring.kernel.registry.BackendInstance;
import org.streamring.kernel.registry.BackendRegistry;

/** Logs when a software version appears in a service and when its last server is gone. Confined to the event loop. */
public final class SoftwareVersionLog {
    private final BackendRegistry registry;
    private final ToIntFunction<ServedVersion> streams;
    private final DecisionLog log;
    private Map<ServedVersion, Long> servers = Map.of();

    /** A software version of a service. */
    public record ServedVersion(String service, String softwareVersion) implements Comparable<ServedVersion> {
        @Override
        public int compareTo(ServedVersion other) {
            int byService = service.compareTo(other.service);
            return byService == 0 ? softwareVersion.compareTo(other.softwareVersion) : byService;
        }
    }

    /**
     * Creates a log that has seen no version yet.
     *
     * @param streams returns the number of known streams that only servers of a version can continue
     */
    public SoftwareVersionLog(
            BackendRegistry registry, ToIntFunction<ServedVersion> streams, EntryMetrics metrics, DecisionLog log) {
        this.registry = registry;
        this.streams = streams;
        this.log = log;
        metrics.gauge("backends.software.versions", () -> servers.size());
    }

    /** Logs the versions that have appeared or are gone since the last call. */
    public void check() {
        Map<ServedVersion, Long> current = registry.all().stream()
                .collect(Collectors.groupingBy(SoftwareVersionLog::versionOf, TreeMap::new, Collectors.counting()));
        current.forEach((version, count) -> {
            if (!servers.containsKey(version)) {
                line("software_version_listed", version, count);
            }
        });
        servers.keySet().stream()
                .filter(version -> !current.containsKey(version))
                .forEach(version -> line("software_version_gone", version, 0));
        servers = current;
    }

    private static ServedVersion versionOf(BackendInstance instance) {
        return new ServedVersion(instance.service(), instance.softwareVersion());
    }

    private void line(String event, ServedVersion version, long count) {
        log.line(
                event,
                "service",
                version.service(),
                "software",
                version.softwareVersion(),
                "servers",
                count,
                "streams",
                streams.applyAsInt(version));
    }
}
