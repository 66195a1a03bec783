package org.streamring.direct.peer;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.IntSupplier;
import java.util.function.LongSupplier;
import java.util.function.ToLongFunction;
import org.streamring.kernel.admission.LinkBacklog;
import org.streamring.kernel.admission.LinkBacklog.Traffic;
import org.streamring.kernel.placement.PlacementReport;
import org.streamring.kernel.placement.PlacementTable;
import org.streamring.kernel.placement.PromptPart;
import org.streamring.kernel.placement.ReplicaShare;
import org.streamring.kernel.placement.ReportPace;
import org.streamring.kernel.placement.SentPrompt;
import org.streamring.net.generated.Wire.Frame;
import org.streamring.net.generated.Wire.PlacementLoad;
import org.streamring.net.generated.Wire.ReadPrompt;
import org.streamring.net.generated.Wire.ReplicaLoad;
import org.streamring.net.peer.PeerConnection;

/**
 * Reports to other entries which requests of this entry are in progress at replicas, and receives their reports.
 * Confined to the event loop.
 */
public final class PlacementExchange {
    /**
     * Report interval per entry. Entries of a fleet of four report ten times per second, those of larger fleets less
     * often to limit the number of frames. Each entry reports to at most {@link PeerChoice#MAX_LOAD_REPORT_TARGETS}
     * entries, so that one report per second is the lowest rate in any fleet.
     */
    private static final long INTERVAL_MILLIS_PER_ENTRY = 25;

    /** Number of intervals after which the last report of an entry is outdated. */
    private static final int MAX_REPORT_AGE_INTERVALS = 5;

    private final EventLoop loop;
    private final EntryPeers peers;
    private final PlacementTable table;
    private final IntSupplier entries;
    private final ToLongFunction<String> memoryOf;
    private final LinkBacklog linkBacklog;
    private final ReportPace rateLimiter;
    private final LongSupplier clock;
    private final Map<String, Long> lastReportMillis = new HashMap<>();
    private boolean lastReportEmpty;
    private boolean earlyReportScheduled;

    /**
     * Creates an exchange; no report is sent or received before {@link #start}.
     *
     * @param entries supplies the number of live entries
     * @param memoryOf returns the memory of a replica in tokens, by the replica's identifier
     * @param linkBacklog backlog of the network link, to which the bytes of the reports are added
     * @param rateLimiter limits the rate of early reports of long prompts
     */
    public PlacementExchange(
            EventLoop loop,
            EntryPeers peers,
            PlacementTable table,
            IntSupplier entries,
            ToLongFunction<String> memoryOf,
            LinkBacklog linkBacklog,
            ReportPace rateLimiter,
            LongSupplier clock) {
        this.loop = loop;
        this.peers = peers;
        this.table = table;
        this.entries = entries;
        this.memoryOf = memoryOf;
        this.linkBacklog = linkBacklog;
        this.rateLimiter = rateLimiter;
        this.clock = clock;
    }

    /** Starts sending and receiving reports. */
    public void start() {
        peers.listen(this::received);
        table.onLongPrompt(this::reportSoon);
        scheduleNext();
    }

    private void scheduleNext() {
        loop.schedule(this::reportRegularly, intervalMillis(), TimeUnit.MILLISECONDS);
    }

    private void reportRegularly() {
        sendReport();
        scheduleNext();
    }

    /**
     * Schedules an early report, because other entries may choose the same replica until they receive it. Long prompts
     * that arrive together share one report.
     */
    private void reportSoon() {
        if (!earlyReportScheduled) {
            earlyReportScheduled = true;
            loop.schedule(this::reportEarly, rateLimiter.waitMillis(clock.getAsLong()), TimeUnit.MILLISECONDS);
        }
    }

    /** Sends the early report, unless a regular report has been sent in the meantime. */
    private void reportEarly() {
        if (earlyReportScheduled) {
            sendReport();
        }
    }

    private long intervalMillis() {
        return INTERVAL_MILLIS_PER_ENTRY
                * Math.max(1, Math.min(PeerChoice.MAX_LOAD_REPORT_TARGETS, entries.getAsInt()));
    }

    private void sendReport() {
        earlyReportScheduled = false;
        PlacementReport report = table.report(clock.getAsLong());
        boolean empty = report.shares().isEmpty() && report.prompts().isEmpty();
        if (!empty || !lastReportEmpty) {
            sendToTargets(Frame.newBuilder().setPlacementLoad(encode(report)).build());
        }
        lastReportEmpty = empty;
        removeSilentEntries();
    }

    /** Sends a frame to all targets of load reports. A lost report is replaced by the next one. */
    private void sendToTargets(Frame frame) {
        List<PeerConnection> targets = peers.loadReportTargets();
        targets.forEach(each -> each.send(frame));
        long bytes = (long) frame.getSerializedSize() * targets.size();
        rateLimiter.recordReport(bytes, clock.getAsLong());
        linkBacklog.addBytes(Traffic.REPORTS, bytes, clock.getAsLong());
    }

    private void removeSilentEntries() {
        long oldestMillis = clock.getAsLong() - MAX_REPORT_AGE_INTERVALS * intervalMillis();
        lastReportMillis.entrySet().removeIf(entry -> {
            boolean silent = entry.getValue() < oldestMillis;
            if (silent) {
                table.forget(entry.getKey());
            }
            return silent;
        });
    }

    private void received(PeerConnection connection, Frame frame) {
        if (frame.hasPlacementLoad()) {
            String entry = connection.remote().name();
            lastReportMillis.put(entry, clock.getAsLong());
            table.applyReport(entry, decode(frame.getPlacementLoad()), memoryOf, clock.getAsLong());
        }
    }

    /** Encodes a report. */
    static PlacementLoad encode(PlacementReport report) {
        PlacementLoad.Builder load = PlacementLoad.newBuilder();
        report.shares()
                .forEach((id, share) -> load.addReplicas(ReplicaLoad.newBuilder()
                        .setReplica(id)
                        .setRunning(share.running())
                        .setUnreadTokens(share.pendingPromptTokens())
                        .setWeightOfStreams((float) share.weightOfStreams())
                        .setRecentPauses((float) share.recentPauses())));
        report.prompts().forEach(sentPrompt -> load.addPrompts(encode(sentPrompt)));
        return load.build();
    }

    private static ReadPrompt encode(SentPrompt sentPrompt) {
        ReadPrompt.Builder prompt = ReadPrompt.newBuilder().setReplica(sentPrompt.replica());
        sentPrompt.parts().forEach(part -> prompt.addPart(part.id()).addTokens(part.tokens()));
        return prompt.build();
    }

    /** Decodes a report. */
    static PlacementReport decode(PlacementLoad load) {
        Map<String, ReplicaShare> shares = new HashMap<>();
        load.getReplicasList()
                .forEach(each -> shares.put(
                        each.getReplica(),
                        new ReplicaShare(
                                Math.max(0, each.getRunning()),
                                each.getUnreadTokens(),
                                each.getWeightOfStreams(),
                                each.getRecentPauses())));
        List<SentPrompt> prompts =
                load.getPromptsList().stream().map(PlacementExchange::decode).toList();
        return new PlacementReport(shares, prompts);
    }

    private static SentPrompt decode(ReadPrompt sentPrompt) {
        List<PromptPart> parts = new ArrayList<>();
        for (int i = 0; i < Math.min(sentPrompt.getPartCount(), sentPrompt.getTokensCount()); i++) {
            parts.add(new PromptPart(sentPrompt.getPart(i), sentPrompt.getTokens(i)));
        }
        return new SentPrompt(sentPrompt.getReplica(), parts);
    }
}
