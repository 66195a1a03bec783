package org.streamring.kernel.config;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import org.streamring.model.declaration.Declarations;

/**
 * Holds the configuration in force in this process. The version only increases: versions that are not newer are ignored
 * and counted, regardless of their source.
 *
 * <p>Thread-safe. Its lock is a leaf lock: no other lock is acquired while it is held.
 */
public final class ConfigurationHolder {
    private final Map<String, ConfigItem> items = new HashMap<>();
    private final List<Listener> listeners = new CopyOnWriteArrayList<>();
    private volatile Configuration current = new Configuration(0, Declarations.EMPTY);
    private long ignoredVersions;

    /**
     * Version of the configuration and its declarations.
     *
     * @param version version of the configuration; 0 before the first one is received
     * @param declarations declarations in force
     */
    public record Configuration(long version, Declarations declarations) {}

    /** Listener that is notified of each newer configuration. It is called without the lock. */
    @FunctionalInterface
    public interface Listener {
        /** Called after a newer configuration came into force. */
        void changed(Configuration configuration, List<ConfigChange> changes);
    }

    /** Adds a listener. */
    public void listen(Listener listener) {
        listeners.add(listener);
    }

    /** Returns the configuration in force. */
    public Configuration current() {
        return current;
    }

    /** Returns the number of offered versions that were not newer than the one in force. */
    public synchronized long ignoredVersions() {
        return ignoredVersions;
    }

    /**
     * Replaces all items with a full copy of the configuration if its version is newer.
     *
     * @return whether the copy came into force
     */
    public boolean applyFull(long version, List<ConfigItem> full) {
        synchronized (this) {
            if (isStale(version)) {
                return false;
            }
            items.clear();
            full.forEach(item -> items.put(item.rowKey(), item));
            current = new Configuration(version, DeclarationItems.join(items.values()));
        }
        notifyListeners(List.of());
        return true;
    }

    /**
     * Applies the changes that directly follow the version in force, up to the first missing version.
     *
     * @return the last version before a missing one, in which case a full copy is needed; empty if no version is
     *     missing
     */
    public Optional<Long> applyChanges(List<ConfigChange> changes) {
        List<ConfigChange> applied = new ArrayList<>();
        Optional<Long> gap = Optional.empty();
        synchronized (this) {
            long version = current.version();
            for (ConfigChange change : sorted(changes)) {
                if (change.version() <= version) {
                    ignoredVersions++;
                    continue;
                }
                if (change.version() != version + 1) {
                    gap = Optional.of(version);
                    break;
                }
                change.items().forEach(this::putOrRemove);
                version = change.version();
                applied.add(change);
            }
            if (!applied.isEmpty()) {
                current = new Configuration(version, DeclarationItems.join(items.values()));
            }
        }
        if (!applied.isEmpty()) {
            notifyListeners(applied);
        }
        return gap;
    }

    private static List<ConfigChange> sorted(List<ConfigChange> changes) {
        return changes.stream()
                .sorted(Comparator.comparingLong(ConfigChange::version))
                .toList();
    }

    private boolean isStale(long version) {
        if (version <= current.version()) {
            ignoredVersions++;
            return true;
        }
        return false;
    }

    private void putOrRemove(ConfigItem item) {
        if (item.removal()) {
            items.remove(item.rowKey());
        } else {
            items.put(item.rowKey(), item);
        }
    }

    private void notifyListeners(List<ConfigChange> changes) {
        Configuration configuration = current;
        listeners.forEach(listener -> listener.changed(configuration, changes));
    }
}
