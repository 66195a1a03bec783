package org.streamring.sidecar;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.streamring.kernel.receipt.Receipt;
import org.streamring.kernel.receipt.ReceiptBook;
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

/** Acts on the frames of entries. */
final class EntryFrames implements PeerListener {
    private static final Logger LOGGER = LoggerFactory.getLogger(EntryFrames.class);

    private final ReceiptBook book;
    private final AttemptRunner runner;
    private long orderVersion;
    private boolean stopping;

    EntryFrames(ReceiptBook book, AttemptRunner runner) {
        this.book = book;
        this.runner = runner;
    }

    @Override
    public void connected(PeerConnection connection) {
        if (connection.remote().role() != PeerIdentity.Role.ENTRY) {
            connection.close();
            return;
        }
        LOGGER.info("entry_connected peer={}", connection);
    }

    @Override
    public void disconnected(PeerConnection connection, DisconnectReason reason) {
        LOGGER.info("entry_disconnected peer={} reason={}", connection, reason);
        runner.disconnected(connection);
    }

    @Override
    public void received(PeerConnection from, Frame frame) {
        switch (frame.getBodyCase()) {
            case SUBMIT -> runner.submit(from, frame.getSubmit());
            case CANCEL -> runner.cancel(frame.getCancel().getAttempt());
            case PING -> pinged(from, frame.getPing());
            case FENCE_QUERY ->
                reply(
                        from,
                        frame.getFenceQuery().getQuery(),
                        book.fence(frame.getFenceQuery().getEntryIncarnation()));
            case RECEIPT_QUERY -> queried(from, frame.getReceiptQuery());
            case LEASES_SETTLED -> book.forgetLeases(frame.getLeasesSettled().getLeaseIdsList());
            default -> LOGGER.debug("frame_ignored peer={} kind={}", from, frame.getBodyCase());
        }
    }

    private void queried(PeerConnection from, ReceiptQuery query) {
        reply(from, query.getQuery(), book.receiptsFor(query.getAttemptsList()));
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

    private void pinged(PeerConnection from, Ping ping) {
        follow(ping);
        from.send(Frame.newBuilder()
                .setPong(Pong.newBuilder().setSequence(ping.getSequence()).setLoad(runner.load()))
                .build());
    }

    /** An order counts only if it comes from a configuration at least as new as the one last followed. */
    private synchronized void follow(Ping ping) {
        if (ping.getConfigVersion() < orderVersion || stopping) {
            return;
        }
        orderVersion = ping.getConfigVersion();
        boolean start = ping.getOrder().equals("start");
        if (start == book.isLeaving()) {
            LOGGER.info("backend_order version={} order={}", ping.getConfigVersion(), ping.getOrder());
        }
        if (start) {
            book.stay();
        } else {
            book.leave();
        }
    }

    /** The process is asked to stop: no order makes it take work again. */
    synchronized void leaveForGood() {
        stopping = true;
        book.leave();
    }
}
