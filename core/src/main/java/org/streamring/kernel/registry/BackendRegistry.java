package org.streamring.kernel.registry;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * The backend servers of all services, fed from the platform's list.
 *
 * <p>An entry that lapsed around an outage of the list is kept for {@code keepLapsedMillis} after the list is back,
 * as its server may live; an incarnation that was seen leaving never takes new requests again. Servers of an evacuated
 * failure domain take none until it is restored. Confined to one thread.
 */
public final class BackendRegistry {
    private final long keepLapsedMillis;
    private final Map<String, BackendInstance> instances = new HashMap<>();
    private final Map<String, Long> lapsedUntil = new HashMap<>();
    private final Set<String> leaving = new HashSet<>();
    private Set<String> evacuated = Set.of();
    private boolean listAway;
    private long listBackMillis = Long.MIN_VALUE / 2;

    /**
     * Creates an empty registry.
     *
     * @param keepLapsedMillis how long a lapsed entry is kept after the list is back
     */
    public BackendRegistry(long keepLapsedMillis) {
        this.keepLapsedMillis = keepLapsedMillis;
    }

    /** Notes that the list can't be read. */
    public void listLost() {
        listAway = true;
    }

    /** Notes that the list can be read again. */
    public void listBack(long nowMillis) {
        if (listAway) {
            listAway = false;
            listBackMillis = nowMillis;
        }
    }

    /** Takes a new or changed entry. */
    public void put(BackendInstance instance) {
        lapsedUntil.remove(instance.id());
        if (!instance.ready()) {
            leaving.add(instance.id());
        }
        instances.put(instance.id(), instance);
    }

    /** Takes the removal of an entry. */
    public void remove(String id, long nowMillis) {
        if (!instances.containsKey(id)) {
            return;
        }
        if (leaving.contains(id) || !withinLapse(nowMillis)) {
            forget(id);
        } else {
            lapsedUntil.put(id, listBackMillis + keepLapsedMillis);
        }
    }

    /** Takes the whole list as it stands. */
    public void replaceAll(Collection<BackendInstance> list, long nowMillis) {
        Set<String> listed = new HashSet<>();
        list.forEach(instance -> listed.add(instance.id()));
        for (String id : List.copyOf(instances.keySet())) {
            if (!listed.contains(id)) {
                remove(id, nowMillis);
            }
        }
        list.forEach(this::put);
    }

    /** Drops lapsed entries whose time is over; returns their identifiers. */
    public List<String> expire(long nowMillis) {
        List<String> expired = lapsedUntil.entrySet().stream()
                .filter(entry -> entry.getValue() <= nowMillis)
                .map(Map.Entry::getKey)
                .toList();
        expired.forEach(this::forget);
        return expired;
    }

    /** Takes the failure domains whose servers get nothing new, in place of those named before. */
    public void evacuated(Set<String> failureDomains) {
        evacuated = Set.copyOf(failureDomains);
    }

    /** Servers of a service that take new requests. */
    public List<BackendInstance> ready(String service) {
        return instances.values().stream()
                .filter(instance -> instance.service().equals(service))
                .filter(this::takesNew)
                .toList();
    }

    /** Whether a server may take new requests. */
    public boolean isReady(String id) {
        return find(id).filter(this::takesNew).isPresent();
    }

    private boolean takesNew(BackendInstance instance) {
        return !leaving.contains(instance.id()) && !evacuated.contains(instance.failureDomain());
    }

    /** A server, if it is known. */
    public Optional<BackendInstance> find(String id) {
        return Optional.ofNullable(instances.get(id));
    }

    /** All servers that are known. */
    public Collection<BackendInstance> all() {
        return List.copyOf(instances.values());
    }

    private boolean withinLapse(long nowMillis) {
        return listAway || nowMillis < listBackMillis + keepLapsedMillis;
    }

    private void forget(String id) {
        instances.remove(id);
        lapsedUntil.remove(id);
    }
}
