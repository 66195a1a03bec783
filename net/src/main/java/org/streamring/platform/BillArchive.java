package org.streamring.platform;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.streamring.kernel.ledger.BillBatch;
import org.streamring.kernel.ledger.BillItem;
import org.streamring.kernel.table.ObjectStore;
import org.streamring.kernel.table.PlatformException;
import org.streamring.kernel.table.RowText;

/**
 * Itemised bills in the object store.
 *
 * <p>An entry writes a batch of items before the transaction that settles them, under the sequence number of that
 * transaction; writing the same batch again is harmless. When an incarnation is closed, its batches after its last
 * committed transaction are void, since their transactions never took effect. The process that closes the incarnation
 * bills their items in batches of its own. Items are identified by their attempt, so that an item in two batches is
 * counted once.
 */
public final class BillArchive {
    private static final String PREFIX = "bills/";
    private static final String SETTLED = "settled-";
    private static final String CLOSING = "closing-";
    private static final String CLOSED = "closed-";

    private final ObjectStore objects;

    /** Creates an archive in the object store. */
    public BillArchive(ObjectStore objects) {
        this.objects = objects;
    }

    /** Parsed object name of a batch. */
    private record Name(String incarnation, String kind, String rest) {
        private static Name parse(String name) {
            int slash = name.lastIndexOf('/');
            String file = name.substring(slash + 1);
            int dash = file.indexOf('-');
            return new Name(
                    name.substring(PREFIX.length(), slash), file.substring(0, dash + 1), file.substring(dash + 1));
        }

        private boolean settledAfter(long sequence) {
            return kind.equals(SETTLED) && Long.parseLong(rest) > sequence;
        }
    }

    /** Writes the batch that belongs to a transaction of an entry. */
    public void writeSettled(String incarnation, long sequence, List<BillItem> items) throws PlatformException {
        write(incarnation, SETTLED + sequence, items);
    }

    /**
     * Writes a batch for a lease of another incarnation, unless there are no items.
     *
     * @param writer incarnation that settles the lease
     * @param lease settled lease; part of the object name
     */
    public void writeForClosedIncarnation(String incarnation, String writer, String lease, List<BillItem> items)
            throws PlatformException {
        if (!items.isEmpty()) {
            write(incarnation, CLOSING + writer + "-" + lease.replace('/', ':'), items);
        }
    }

    private void write(String incarnation, String file, List<BillItem> items) throws PlatformException {
        objects.put(
                PREFIX + incarnation + "/" + file,
                RowText.write(new BillBatch(items)).getBytes(StandardCharsets.UTF_8));
    }

    /**
     * Voids the batches that an incarnation being closed wrote after its last committed transaction.
     *
     * @return the items of the voided batches, to be billed by the caller
     */
    public List<BillItem> voidUncommitted(String incarnation, long lastCommitted) throws PlatformException {
        write(incarnation, CLOSED + lastCommitted, List.of());
        List<BillItem> items = new ArrayList<>();
        for (String name : objects.list(PREFIX + incarnation + "/")) {
            if (Name.parse(name).settledAfter(lastCommitted)) {
                items.addAll(read(name));
            }
        }
        return items;
    }

    /** Returns the attempts of a lease that have been billed. */
    public Set<String> billedAttempts(String incarnation, String lease) throws PlatformException {
        Set<String> billed = new HashSet<>();
        for (BillItem item : items(PREFIX + incarnation + "/")) {
            if (item.lease().equals(lease)) {
                billed.add(item.attempt());
            }
        }
        return billed;
    }

    /** Returns all valid items, without duplicates. */
    public List<BillItem> items() throws PlatformException {
        return items(PREFIX);
    }

    private List<BillItem> items(String prefix) throws PlatformException {
        List<String> names = objects.list(prefix);
        Map<String, Long> lastCommittedByIncarnation = new HashMap<>();
        for (String name : names) {
            Name parsed = Name.parse(name);
            if (parsed.kind().equals(CLOSED)) {
                lastCommittedByIncarnation.put(parsed.incarnation(), Long.parseLong(parsed.rest()));
            }
        }
        Map<String, BillItem> byAttempt = new LinkedHashMap<>();
        for (String name : names) {
            Name parsed = Name.parse(name);
            long lastValid = lastCommittedByIncarnation.getOrDefault(parsed.incarnation(), Long.MAX_VALUE);
            if (!parsed.kind().equals(CLOSED) && !parsed.settledAfter(lastValid)) {
                read(name).forEach(item -> byAttempt.put(item.attempt(), item));
            }
        }
        return List.copyOf(byAttempt.values());
    }

    private List<BillItem> read(String name) throws PlatformException {
        return objects.get(name)
                .map(bytes -> RowText.read(new String(bytes, StandardCharsets.UTF_8), BillBatch.class)
                        .items())
                .orElse(List.of());
    }
}
