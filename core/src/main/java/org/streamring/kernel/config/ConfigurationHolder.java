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
 * The configuration in force in this process. It only ever moves forward: an older version, from whichever source, is
 * ignored and counted.
 *
 * <p>Safe for use by many threads; its lock is a leaf, held while no other lock is taken.
 */
public final class ConfigurationHolder {
    private final Map<String, ConfigItem> items = new HashMap<>();
    private final List<Listener> listeners = new CopyOnWriteArrayList<>();
    private volatile Configuration current = new Configuration(0, Declarations.EMPTY);
    private long staleOffers;

    /**
     * A version and what it declares.
     *
     * @param version version; 0 before the first is known
     * @param declarations what is in force
     */
    public record Configuration(long version, Declarations declarations) {}

    /** Told of every step forward, outside the lock. */
    @FunctionalInterface
    public interface Listener {
        /** A change came into force. */
        void changed(Configuration configuration, List<ConfigChange> changes);
    }

    /** Adds a listener. */
    public void listen(Listener listener) {
        listeners.add(listener);
    }

    /** What is in force. */
    public Configuration current() {
        return current;
    }

    /** How often an older version was offered. */
    public synchronized long staleOffers() {
        return staleOffers;
    }

    /**
     * Replaces everything by a full copy, if it is newer.
     *
     * @return whether it came into force
     */
    public boolean offerFull(long version, List<ConfigItem> full) {
        synchronized (this) {
            if (isStale(version)) {
                return false;
            }
            items.clear();
            full.forEach(item -> items.put(item.rowKey(), item));
            current = new Configuration(version, DeclarationItems.join(items.values()));
        }
        tell(List.of());
        return true;
    }

    /**
     * Applies the changes that follow the version in force without a gap.
     *
     * @return the version at which a gap was found, if one was; a full copy is needed then
     */
    public Optional<Long> offerChanges(List<ConfigChange> changes) {
        List<ConfigChange> applied = new ArrayList<>();
        Optional<Long> gap = Optional.empty();
        synchronized (this) {
            long version = current.version();
            for (ConfigChange change : sorted(changes)) {
                if (change.version() <= version) {
                    staleOffers++;
                    continue;
                }
                if (change.version() != version + 1) {
                    gap = Optional.of(version);
                    break;
                }
                change.items().forEach(this::put);
                version = change.version();
                applied.add(change);
            }
            if (!applied.isEmpty()) {
                current = new Configuration(version, DeclarationItems.join(items.values()));
            }
        }
        if (!applied.isEmpty()) {
            tell(applied);
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
            staleOffers++;
            return true;
        }
        return false;
    }

    private void put(ConfigItem item) {
        if (item.removal()) {
            items.remove(item.rowKey());
        } else {
            items.put(item.rowKey(), item);
        }
    }

    private void tell(List<ConfigChange> changes) {
        Configuration configuration = current;
        listeners.forEach(listener -> listener.changed(configuration, changes));
    }
}
