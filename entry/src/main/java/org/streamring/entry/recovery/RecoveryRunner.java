package org.streamring.entry.recovery;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CancellationException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.LongSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.streamring.entry.ledger.LedgerHolder;
import org.streamring.entry.peer.SidecarLinks;
import org.streamring.kernel.ledger.BillItem;
import org.streamring.kernel.ledger.HeldRecord;
import org.streamring.kernel.receipt.Receipt;
import org.streamring.kernel.recovery.EntryFailureDetector;
import org.streamring.kernel.recovery.HeldResolver;
import org.streamring.kernel.recovery.LeaseCloser;
import org.streamring.kernel.recovery.PeerReceipts;
import org.streamring.kernel.routing.RendezvousHash;
import org.streamring.kernel.table.PlatformException;
import org.streamring.kernel.table.PlatformTable;
import org.streamring.kernel.table.Row;
import org.streamring.kernel.table.RowKeys;
import org.streamring.kernel.table.RowText;
import org.streamring.kernel.table.TransactionResult;
import org.streamring.kernel.table.TransactionResult.Committed;
import org.streamring.platform.BillArchive;

/**
 * Closes the leases of entries that appear to be dead, and settles held tokens after their sidecar has reconnected.
 * The responsible entry is chosen by rendezvous hashing over the live entries. If two entries act at the same time, the
 * conditions of the table let only one of them settle.
 */
public final class RecoveryRunner {
    private static final Logger LOGGER = LoggerFactory.getLogger(RecoveryRunner.class);
    private static final int PAGE_ROWS = 500;
    private static final long ANSWER_TIMEOUT_MILLIS = 2_000;
    private static final int ENTRIES_PER_INTERVAL = 16;

    private final PlatformTable table;
    private final BillArchive bills;
    private final SidecarLinks links;
    private final LedgerHolder ledgers;
    private final EntryFailureDetector detector;
    private final Duration unansweredAfter;
    private final Duration interval;
    private final LongSupplier lastOutageMillis;
    private long nextRunMillis;
    private final Map<String, Long> closingSince = new HashMap<>();

    /**
     * Creates a runner.
     *
     * @param lastOutageMillis returns when the table last failed to answer, in milliseconds; negative if it has always
     *     answered
     * @param suspectAfter time without a sign of life after which an entry is suspected to be dead
     * @param interval time between runs
     */
    public RecoveryRunner(
            PlatformTable table,
            BillArchive bills,
            SidecarLinks links,
            LedgerHolder ledgers,
            LongSupplier lastOutageMillis,
            Duration suspectAfter,
            Duration interval) {
        this.table = table;
        this.bills = bills;
        this.links = links;
        this.ledgers = ledgers;
        this.detector = new EntryFailureDetector(suspectAfter);
        this.unansweredAfter = suspectAfter;
        this.interval = interval;
        this.lastOutageMillis = lastOutageMillis;
    }

    /**
     * Runs one recovery pass if it is due. The interval grows with the number of entries, so that all entries together
     * read the table at a bounded rate.
     */
    public void runIfDue(long nowMillis) throws PlatformException {
        if (nowMillis < nextRunMillis) {
            return;
        }
        List<Row> entries = scan(RowKeys.ENTRIES);
        nextRunMillis = nowMillis + interval.toMillis() * (entries.size() / ENTRIES_PER_INTERVAL);
        List<Row> suspects = detector.observe(entries, lastOutageMillis.getAsLong(), nowMillis);
        Set<String> live = new HashSet<>();
        entries.forEach(row -> live.add(LeaseCloser.incarnationOf(row)));
        suspects.forEach(row -> live.remove(LeaseCloser.incarnationOf(row)));
        String own = ledgers.current().incarnation();
        live.add(own);
        for (Row suspect : suspects) {
            String incarnation = LeaseCloser.incarnationOf(suspect);
            if (!incarnation.equals(own) && isResponsibleFor(incarnation, live, own)) {
                close(suspect, incarnation, own, nowMillis);
            }
        }
        for (Row held : scan(RowKeys.HELD)) {
            if (isResponsibleFor(held.key(), live, own)) {
                resolveHeld(held, own, nowMillis);
            }
        }
    }

    private static boolean isResponsibleFor(String key, Set<String> live, String own) {
        return RendezvousHash.order(key, live).get(0).equals(own);
    }

    private List<Row> scan(String prefix) throws PlatformException {
        List<Row> rows = new ArrayList<>();
        List<Row> page;
        String after = "";
        do {
            page = table.scan(prefix, after, PAGE_ROWS);
            rows.addAll(page);
            after = page.isEmpty() ? after : page.get(page.size() - 1).key();
        } while (page.size() == PAGE_ROWS);
        return rows;
    }

    private void close(Row suspect, String incarnation, String own, long nowMillis) throws PlatformException {
        LeaseCloser closer = new LeaseCloser(own);
        Row entryRow = suspect;
        if (!closer.owns(entryRow)) {
            Optional<Row> closing = committedRow(table.transact(closer.markClosing(entryRow)), entryRow.key());
            if (closing.isEmpty()) {
                return;
            }
            entryRow = closing.get();
            LOGGER.info("entry_closing incarnation={}", incarnation);
        }
        long since = closingSince.computeIfAbsent(incarnation, key -> nowMillis);
        List<Row> peersRows = table.read(List.of(RowKeys.peers(incarnation)));
        if (peersRows.isEmpty()) {
            return;
        }
        boolean skipUnanswered = nowMillis - since > unansweredAfter.toMillis();
        List<String> peers = LeaseCloser.peersOf(peersRows.get(0));
        Optional<List<PeerReceipts>> answers = fenceAll(peers, incarnation, skipUnanswered);
        if (answers.isPresent()) {
            List<BillItem> voidedItems = bills.voidUncommitted(incarnation, entryRow.amount());
            LeaseCloser.CollectedReceipts collected =
                    new LeaseCloser.CollectedReceipts(peers, answers.get(), voidedItems);
            settleAll(closer, entryRow, peersRows.get(0), collected, nowMillis);
        }
    }

    /** Fences an entry at its sidecars. Returns empty if an answer is still missing or an attempt is still running. */
    private Optional<List<PeerReceipts>> fenceAll(List<String> peers, String incarnation, boolean skipUnanswered) {
        List<PeerReceipts> answers = new ArrayList<>();
        boolean incomplete = false;
        for (String peer : peers) {
            Optional<PeerReceipts> answer =
                    await(links.fence(peer, incarnation)).map(list -> new PeerReceipts(peer, list));
            if (answer.isEmpty()) {
                incomplete |= !skipUnanswered;
            } else if (answer.get().stillRunning()) {
                incomplete = true;
            } else {
                answers.add(answer.get());
            }
        }
        return incomplete ? Optional.empty() : Optional.of(answers);
    }

    private static Optional<List<Receipt>> await(CompletableFuture<List<Receipt>> answer) {
        try {
            return Optional.of(answer.get(ANSWER_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return Optional.empty();
        } catch (ExecutionException | TimeoutException | CancellationException e) {
            return Optional.empty();
        }
    }

    private void settleAll(
            LeaseCloser closer, Row closingRow, Row peersRow, LeaseCloser.CollectedReceipts collected, long nowMillis)
            throws PlatformException {
        String incarnation = LeaseCloser.incarnationOf(closingRow);
        String own = ledgers.current().incarnation();
        Row entryRow = closingRow;
        List<Row> leaseRows = scan(RowKeys.leasesOf(incarnation));
        for (int from = 0; from < leaseRows.size(); from += LeaseCloser.MAX_LEASES) {
            List<Row> batch = leaseRows.subList(from, Math.min(leaseRows.size(), from + LeaseCloser.MAX_LEASES));
            LeaseCloser.Settlement settlement = closer.settle(entryRow, batch, collected, nowMillis);
            bills.writeForClosedIncarnation(incarnation, own, LeaseCloser.leaseIdOf(batch.get(0)), settlement.items());
            Optional<Row> written = committedRow(table.transact(settlement.transaction()), entryRow.key());
            if (written.isEmpty()) {
                return;
            }
            entryRow = written.get();
            LOGGER.info("leases_closed incarnation={} leases={} held={}", incarnation, batch.size(), settlement.held());
            if (settlement.held() == 0) {
                links.leasesSettled(batch.stream().map(LeaseCloser::leaseIdOf).toList());
            }
        }
        if (table.transact(closer.finish(entryRow, peersRow)) instanceof Committed) {
            closingSince.remove(incarnation);
            LOGGER.info("entry_closed incarnation={}", incarnation);
        }
    }

    private static Optional<Row> committedRow(TransactionResult result, String key) {
        return result instanceof Committed committed ? committed.row(key) : Optional.empty();
    }

    private void resolveHeld(Row heldRow, String own, long nowMillis) throws PlatformException {
        HeldRecord record = RowText.read(heldRow.text(), HeldRecord.class);
        for (String peer : record.waitingFor()) {
            if (!links.isConnected(peer)) {
                continue;
            }
            Optional<List<Receipt>> receipts = await(queryReceipts(peer, record));
            if (receipts.isEmpty() || !HeldResolver.isFinal(heldRow, receipts.get())) {
                continue;
            }
            String holder = entryOf(record.leaseId());
            Set<String> billed = bills.billedAttempts(holder, record.leaseId());
            HeldResolver.Resolution resolution = new HeldResolver(own)
                    .settleWithReceipts(heldRow, new PeerReceipts(peer, receipts.get()), billed, nowMillis);
            bills.writeForClosedIncarnation(
                    holder, own, record.leaseId() + "-" + heldRow.version(), resolution.items());
            if (table.transact(resolution.transaction()) instanceof Committed) {
                LOGGER.info("held_resolved lease={} peer={}", record.leaseId(), peer);
                links.leasesSettled(List.of(record.leaseId()));
            }
            return;
        }
    }

    /**
     * Queries a sidecar for receipts: for a closed entry all of them, which also fences the entry at that sidecar; for
     * a live entry only those of the uncertain attempts.
     */
    private CompletableFuture<List<Receipt>> queryReceipts(String peer, HeldRecord record) {
        return record.attempts().isEmpty()
                ? links.fence(peer, entryOf(record.leaseId()))
                : links.receipts(peer, record.attempts());
    }

    private static String entryOf(String leaseId) {
        return leaseId.substring(0, leaseId.indexOf('/'));
    }
}
