package org.streamring.kernel.registry;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.streamring.kernel.availability.BackendAvailability;
import org.streamring.kernel.availability.NoticeSource;

/**
 * Registry of the backend servers of all services, filled from the platform's list.
 *
 * <p>A row that is removed during an outage of the list, or shortly after it, is kept for {@code keepLapsedMillis}
 * after the end of the outage, as its server may still be alive. Rows of servers that are shutting down are not kept.
 * Servers in an evacuated failure domain receive no new requests until the domain is restored. Confined to one thread.
 */
public final class BackendRegistry {
    private final long keepLapsedMillis;
    private final BackendAvailability availability;
    private final Map<String, BackendInstance> instances = new HashMap<>();
    private final Map<String, Long> lapsedUntil = new HashMap<>();
    private Set<String> evacuated = Set.of();
    private boolean listUnavailable;
    private long listRestoredMillis = Long.MIN_VALUE / 2;

    /**
     * Creates an empty registry.
     *
     * @param keepLapsedMillis how long a removed row is kept after the end of an outage, in milliseconds
     * @param availability receives the servers whose rows report a shutdown, and returns which are shutting down
     */
    public BackendRegistry(long keepLapsedMillis, BackendAvailability availability) {
        this.keepLapsedMillis = keepLapsedMillis;
        this.availability = availability;
    }

    /** Records that the list cannot be read. */
    public void setListUnavailable() {
        listUnavailable = true;
    }

    /** Records that the list can be read again. */
    public void listRestored(long nowMillis) {
        if (listUnavailable) {
            listUnavailable = false;
            listRestoredMillis = nowMillis;
        }
    }

    /** Adds or replaces a row. */
    public void put(BackendInstance instance, long nowMillis) {
        lapsedUntil.remove(instance.id());
        availability.listed(instance.id(), instance.host(), instance.port(), instance.incarnation(), nowMillis);
        if (!instance.ready()) {
            availability.leaving(instance.incarnation(), NoticeSource.ROW, nowMillis);
        }
        instances.put(instance.id(), instance);
    }

    /** Removes a row, or marks it as lapsed around an outage of the list. */
    public void remove(String id, long nowMillis) {
        BackendInstance instance = instances.get(id);
        if (instance == null) {
            return;
        }
        if (isShuttingDown(instance) || !isAroundOutage(nowMillis)) {
            delete(id);
        } else {
            lapsedUntil.put(id, listRestoredMillis + keepLapsedMillis);
        }
    }

    /**
     * Removes a server at once because its row cannot be parsed. The row has not lapsed, so it is not kept through an
     * outage.
     */
    public void drop(String id) {
        delete(id);
    }

    /** Replaces all rows by the current list. */
    public void replaceAll(Collection<BackendInstance> list, long nowMillis) {
        Set<String> listed = new HashSet<>();
        list.forEach(instance -> listed.add(instance.id()));
        for (String id : List.copyOf(instances.keySet())) {
            if (!listed.contains(id)) {
                remove(id, nowMillis);
            }
        }
        list.forEach(instance -> put(instance, nowMillis));
    }

    /** Removes lapsed rows whose retention has expired; returns their identifiers. */
    public List<String> expire(long nowMillis) {
        List<String> expired = lapsedUntil.entrySet().stream()
                .filter(entry -> entry.getValue() <= nowMillis)
                .map(Map.Entry::getKey)
                .toList();
        expired.forEach(this::delete);
        return expired;
    }

    /** Sets the failure domains whose servers receive no new requests, replacing the previous ones. */
    public void evacuated(Set<String> failureDomains) {
        evacuated = Set.copyOf(failureDomains);
    }

    /** Returns the servers of a service outside evacuated failure domains, including those that are shutting down. */
    public List<BackendInstance> inService(String service) {
        return instances.values().stream()
                .filter(instance -> instance.service().equals(service))
                .filter(this::isOpen)
                .toList();
    }

    /** Returns whether a server is shutting down. */
    public boolean isShuttingDown(BackendInstance instance) {
        return availability.isShuttingDown(instance.incarnation());
    }

    /** Returns whether a server is not shutting down and its failure domain is not evacuated. */
    public boolean isOpenAndRunning(BackendInstance instance) {
        return isOpen(instance) && !isShuttingDown(instance);
    }

    private boolean isOpen(BackendInstance instance) {
        return !evacuated.contains(instance.failureDomain());
    }

    /** Returns a server; empty if it is not registered. */
    public Optional<BackendInstance> find(String id) {
        return Optional.ofNullable(instances.get(id));
    }

    /** Returns all registered servers. */
    public Collection<BackendInstance> all() {
        return List.copyOf(instances.values());
    }

    private boolean isAroundOutage(long nowMillis) {
        return listUnavailable || nowMillis < listRestoredMillis + keepLapsedMillis;
    }

    private void delete(String id) {
        instances.remove(id);
        lapsedUntil.remove(id);
    }
}
