package org.streamring.sidecar;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.streamring.kernel.receipt.Receipt;
import org.streamring.kernel.receipt.ReceiptStore;
import org.streamring.net.generated.Wire.Frame;
import org.streamring.net.generated.Wire.Ping;
import org.streamring.net.generated.Wire.Pong;
import org.streamring.net.generated.Wire.ReceiptQuery;
import org.streamring.net.generated.Wire.ReceiptRecord;
import org.streamring.net.generated.Wire.ReceiptReply;
import org.streamring.net.peer.DisconnectReason;
import org.streamring.net.peer.PeerConnection;
import org.streamring.net.peer.PeerIdentity;
import org.streamring.net.peer.PeerListener;

/** Handles the frames that entries send to this sidecar. */
final class EntryFrameHandler implements PeerListener {
    private static final Logger LOGGER = LoggerFactory.getLogger(EntryFrameHandler.class);

    private final ReceiptStore receiptStore;
    private final AttemptRunner runner;
    private final Map<PeerConnection, Long> connectedMillis = new ConcurrentHashMap<>();
    private long lastOrderVersion;
    private boolean stopping;

    EntryFrameHandler(ReceiptStore receiptStore, AttemptRunner runner) {
        this.receiptStore = receiptStore;
        this.runner = runner;
    }

    @Override
    public void connected(PeerConnection connection) {
        if (connection.remote().role() != PeerIdentity.Role.ENTRY) {
            connection.close();
            return;
        }
        connectedMillis.put(connection, System.currentTimeMillis());
        LOGGER.info("entry_connected peer={}", connection);
    }

    /**
     * Keeps a silent connection to which answers are being sent, because its end would cancel them, until the entry is
     * heard on a newer one only.
     */
    @Override
    public boolean closesSilent(PeerConnection connection) {
        return !runner.hasSubscriber(connection) || isHeardElsewhere(connection);
    }

    private boolean isHeardElsewhere(PeerConnection silent) {
        long connectedBefore = System.currentTimeMillis() - PeerConnection.MILLIS_TO_OUTLAST_SILENCE;
        long silentConnected = connectedMillis.getOrDefault(silent, Long.MAX_VALUE);
        return connectedMillis.entrySet().stream()
                .filter(each -> each.getKey().remote().equals(silent.remote()))
                .anyMatch(each -> each.getValue() > silentConnected && each.getValue() <= connectedBefore);
    }

    @Override
    public void disconnected(PeerConnection connection, DisconnectReason reason) {
        LOGGER.info("entry_disconnected peer={} reason={}", connection, reason);
        connectedMillis.remove(connection);
        runner.disconnected(connection);
    }

    @Override
    public void received(PeerConnection from, Frame frame) {
        switch (frame.getBodyCase()) {
            case SUBMIT -> runner.submit(from, frame.getSubmit());
            case CANCEL -> runner.cancel(frame.getCancel().getAttempt());
            case PING -> answerPing(from, frame.getPing());
            case FENCE_QUERY ->
                reply(
                        from,
                        frame.getFenceQuery().getQuery(),
                        receiptStore.fence(frame.getFenceQuery().getEntryIncarnation()));
            case RECEIPT_QUERY -> answerReceiptQuery(from, frame.getReceiptQuery());
            case LEASES_SETTLED ->
                receiptStore.removeSettledReceipts(frame.getLeasesSettled().getLeaseIdsList());
            default -> LOGGER.debug("frame_ignored peer={} kind={}", from, frame.getBodyCase());
        }
    }

    private void answerReceiptQuery(PeerConnection from, ReceiptQuery query) {
        reply(from, query.getQuery(), receiptStore.queryOrBar(query.getAttemptsList()));
    }

    private static void reply(PeerConnection to, long query, Iterable<Receipt> receipts) {
        ReceiptReply.Builder reply = ReceiptReply.newBuilder().setQuery(query);
        receipts.forEach(receipt -> reply.addReceipts(record(receipt)));
        to.send(Frame.newBuilder().setReceiptReply(reply).build());
    }

    private static ReceiptRecord record(Receipt receipt) {
        return ReceiptRecord.newBuilder()
                .setAttempt(receipt.attempt())
                .setRequestKey(receipt.requestKey())
                .setAccount(receipt.account())
                .setBudget(receipt.budget())
                .setLeaseId(receipt.leaseId())
                .setService(receipt.service())
                .setReservedTokens(receipt.reserved())
                .setPromptTokens(receipt.usage().promptTokens())
                .setAnswerTokens(receipt.usage().answerTokens())
                .setTokens(receipt.tokens())
                .setEnded(receipt.ended())
                .build();
    }

    private void answerPing(PeerConnection from, Ping ping) {
        applyOrder(ping);
        from.send(Frame.newBuilder()
                .setPong(Pong.newBuilder().setSequence(ping.getSequence()).setLoad(runner.load()))
                .build());
    }

    /**
     * Applies the start or stop order of a ping. Ignores it if its configuration is older than that of the last applied
     * order, or if the process is stopping.
     */
    private synchronized void applyOrder(Ping ping) {
        if (ping.getConfigVersion() < lastOrderVersion || stopping) {
            return;
        }
        lastOrderVersion = ping.getConfigVersion();
        boolean start = ping.getOrder().equals("start");
        if (start == receiptStore.isShuttingDown()) {
            LOGGER.info("backend_order version={} order={}", ping.getConfigVersion(), ping.getOrder());
        }
        if (start) {
            receiptStore.acceptNewAttempts();
        } else {
            receiptStore.refuseNewAttempts();
        }
    }

    /** Refuses new attempts until the process ends; later orders are ignored. */
    synchronized void refuseNewAttemptsUntilExit() {
        stopping = true;
        receiptStore.refuseNewAttempts();
    }
}
