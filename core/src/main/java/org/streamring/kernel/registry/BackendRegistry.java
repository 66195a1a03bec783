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
 * The backend servers of all services, fed from the platform's list.
 *
 * <p>An entry that lapsed around an outage of the list is kept for {@code keepLapsedMillis} after the list is back,
 * as its server may live; one that leaves is not. Servers of an evacuated failure domain take nothing new until it is
 * restored. Confined to one thread.
 */
public final class BackendRegistry {
    private final long keepLapsedMillis;
    private final BackendAvailability availability;
    private final Map<String, BackendInstance> instances = new HashMap<>();
    private final Map<String, Long> lapsedUntil = new HashMap<>();
    private Set<String> evacuated = Set.of();
    private boolean listAway;
    private long listBackMillis = Long.MIN_VALUE / 2;

    /**
     * Creates an empty registry.
     *
     * @param keepLapsedMillis how long a lapsed entry is kept after the list is back
     * @param availability told which servers leave by their entries, asked which leave
     */
    public BackendRegistry(long keepLapsedMillis, BackendAvailability availability) {
        this.keepLapsedMillis = keepLapsedMillis;
        this.availability = availability;
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
    public void put(BackendInstance instance, long nowMillis) {
        lapsedUntil.remove(instance.id());
        if (!instance.ready()) {
            availability.leaving(instance.incarnation(), NoticeSource.ROW, nowMillis);
        }
        instances.put(instance.id(), instance);
    }

    /** Takes the removal of an entry. */
    public void remove(String id, long nowMillis) {
        BackendInstance instance = instances.get(id);
        if (instance == null) {
            return;
        }
        if (leaves(instance) || !withinLapse(nowMillis)) {
            forget(id);
        } else {
            lapsedUntil.put(id, listBackMillis + keepLapsedMillis);
        }
    }

    /**
     * Forgets a server at once, as its entry can't be understood and names no server any more. That is no lapse, so it
     * isn't kept through an outage.
     */
    public void drop(String id) {
        forget(id);
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
        list.forEach(instance -> put(instance, nowMillis));
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

    /** Servers of a service outside evacuated failure domains, also those that leave. */
    public List<BackendInstance> inService(String service) {
        return instances.values().stream()
                .filter(instance -> instance.service().equals(service))
                .filter(this::isOpen)
                .toList();
    }

    /** Whether a server said that it leaves. */
    public boolean leaves(BackendInstance instance) {
        return availability.isLeaving(instance.incarnation());
    }

    /** Whether a server stays and its failure domain is not evacuated. */
    public boolean stays(BackendInstance instance) {
        return isOpen(instance) && !leaves(instance);
    }

    private boolean isOpen(BackendInstance instance) {
        return !evacuated.contains(instance.failureDomain());
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
