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
import org.streamring.kernel.admission.LinkPace;
import org.streamring.kernel.admission.LinkPace.Traffic;
import org.streamring.kernel.placement.PlacementReport;
import org.streamring.kernel.placement.PlacementTable;
import org.streamring.kernel.placement.PromptPart;
import org.streamring.kernel.placement.PromptRead;
import org.streamring.kernel.placement.ReplicaShare;
import org.streamring.kernel.placement.ReportPace;
import org.streamring.net.generated.Wire.Frame;
import org.streamring.net.generated.Wire.PlacementLoad;
import org.streamring.net.generated.Wire.ReadPrompt;
import org.streamring.net.generated.Wire.ReplicaLoad;
import org.streamring.net.peer.PeerConnection;

/**
 * Tells the other entries what this one has in progress at replicas, and takes what they tell. Confined to the event
 * loop.
 */
public final class PlacementExchange {
    /**
     * A fleet of four tells each other ten times a second; larger ones more rarely, so that the frames stay few. No
     * more than {@link PeerChoice#MOST_TOLD} are told, so that once a second is enough for any fleet.
     */
    private static final long MILLIS_PER_ENTRY = 25;

    /** What was told this many intervals ago is no longer true. */
    private static final int INTERVALS_KEPT = 5;

    private final EventLoop loop;
    private final EntryPeers peers;
    private final PlacementTable table;
    private final IntSupplier entries;
    private final ToLongFunction<String> memoryOf;
    private final LinkPace link;
    private final ReportPace pace;
    private final LongSupplier clock;
    private final Map<String, Long> heardMillis = new HashMap<>();
    private boolean toldNothing;
    private boolean tellingSoon;

    /**
     * Creates one; nothing happens before {@link #start}.
     *
     * @param entries number of live entries
     * @param memoryOf memory of a replica in tokens, by its identifier
     * @param link told what the reports add to it
     * @param pace when long prompts may be told early
     */
    public PlacementExchange(
            EventLoop loop,
            EntryPeers peers,
            PlacementTable table,
            IntSupplier entries,
            ToLongFunction<String> memoryOf,
            LinkPace link,
            ReportPace pace,
            LongSupplier clock) {
        this.loop = loop;
        this.peers = peers;
        this.table = table;
        this.entries = entries;
        this.memoryOf = memoryOf;
        this.link = link;
        this.pace = pace;
        this.clock = clock;
    }

    /** Starts to tell and to listen. */
    public void start() {
        peers.listen(this::received);
        table.onLongPrompt(this::tellSoon);
        scheduleNext();
    }

    private void scheduleNext() {
        loop.schedule(this::tellRegularly, intervalMillis(), TimeUnit.MILLISECONDS);
    }

    private void tellRegularly() {
        tell();
        scheduleNext();
    }

    /** Others would choose the same replica until they know; long prompts that come together share a report. */
    private void tellSoon() {
        if (!tellingSoon) {
            tellingSoon = true;
            loop.schedule(this::tellEarly, pace.waitMillis(clock.getAsLong()), TimeUnit.MILLISECONDS);
        }
    }

    /** A regular report may have told it meanwhile. */
    private void tellEarly() {
        if (tellingSoon) {
            tell();
        }
    }

    private long intervalMillis() {
        return MILLIS_PER_ENTRY * Math.max(1, Math.min(PeerChoice.MOST_TOLD, entries.getAsInt()));
    }

    private void tell() {
        tellingSoon = false;
        PlacementReport report = table.report(clock.getAsLong());
        boolean nothing = report.shares().isEmpty() && report.prompts().isEmpty();
        if (!nothing || !toldNothing) {
            tellAll(Frame.newBuilder().setPlacementLoad(encode(report)).build());
        }
        toldNothing = nothing;
        forgetSilent();
    }

    /** A report that is lost is made good by the next. */
    private void tellAll(Frame frame) {
        List<PeerConnection> told = peers.toldOfLoad();
        told.forEach(each -> each.send(frame));
        long bytes = (long) frame.getSerializedSize() * told.size();
        pace.told(bytes, clock.getAsLong());
        link.written(Traffic.REPORTS, bytes, clock.getAsLong());
    }

    private void forgetSilent() {
        long oldest = clock.getAsLong() - INTERVALS_KEPT * intervalMillis();
        heardMillis.entrySet().removeIf(entry -> {
            boolean silent = entry.getValue() < oldest;
            if (silent) {
                table.forget(entry.getKey());
            }
            return silent;
        });
    }

    private void received(PeerConnection connection, Frame frame) {
        if (frame.hasPlacementLoad()) {
            String entry = connection.remote().name();
            heardMillis.put(entry, clock.getAsLong());
            table.reported(entry, decode(frame.getPlacementLoad()), memoryOf, clock.getAsLong());
        }
    }

    /** A report as a frame. */
    static PlacementLoad encode(PlacementReport report) {
        PlacementLoad.Builder load = PlacementLoad.newBuilder();
        report.shares()
                .forEach((id, share) -> load.addReplicas(ReplicaLoad.newBuilder()
                        .setReplica(id)
                        .setRunning(share.running())
                        .setUnreadTokens(share.unreadTokens())
                        .setWeightOfStreams((float) share.weightOfStreams())
                        .setRecentPauses((float) share.recentPauses())));
        report.prompts().forEach(read -> load.addPrompts(encode(read)));
        return load.build();
    }

    private static ReadPrompt encode(PromptRead read) {
        ReadPrompt.Builder prompt = ReadPrompt.newBuilder().setReplica(read.replica());
        read.parts().forEach(part -> prompt.addPart(part.id()).addTokens(part.tokens()));
        return prompt.build();
    }

    /** The report in a frame. */
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
        List<PromptRead> prompts =
                load.getPromptsList().stream().map(PlacementExchange::decode).toList();
        return new PlacementReport(shares, prompts);
    }

    private static PromptRead decode(ReadPrompt read) {
        List<PromptPart> parts = new ArrayList<>();
        for (int i = 0; i < Math.min(read.getPartCount(), read.getTokensCount()); i++) {
            parts.add(new PromptPart(read.getPart(i), read.getTokens(i)));
        }
        return new PromptRead(read.getReplica(), parts);
    }
}
