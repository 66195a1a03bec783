package org.streamring.direct;

import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.LongSupplier;
import org.streamring.direct.log.DecisionLog;
import org.streamring.net.peer.PeerException;
import org.streamring.net.process.HangUpSignal;
import org.streamring.net.process.StopSignal;
import org.streamring.net.settings.SettingsException;
import org.streamring.platform.node.NodePlatform;
import org.streamring.platform.node.NodePlatformProvider;
import org.streamring.platform.node.NodeSettings;

/** Main class of an entry that sends requests directly to backend servers, on the platform found on the class path. */
public final class DirectEntryMain {
    private static final int EXIT_CODE_INVALID_SETTINGS = 2;

    private DirectEntryMain() {}

    /**
     * Runs the entry until the process receives a stop signal. The SIGHUP handler is installed first, because SIGHUP
     * must never end the process.
     */
    public static void main(String[] arguments) throws PeerException, InterruptedException {
        AtomicReference<Runnable> onHangUp = new AtomicReference<>(() -> {});
        HangUpSignal.listen(() -> onHangUp.get().run());
        long start = System.nanoTime();
        LongSupplier clock = () -> TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - start);
        NioEventLoopGroup loops = new NioEventLoopGroup(1);
        EventLoop loop = loops.next();
        NodePlatform platform;
        NodeSettings settings;
        try {
            platform = NodePlatformProvider.find().open(System.getenv(), loop);
            settings = platform.readSettings();
        } catch (SettingsException e) {
            System.err.println(e.getMessage());
            System.exit(EXIT_CODE_INVALID_SETTINGS);
            return;
        }
        DecisionLog log = new DecisionLog(System.out, settings.nodeName());
        StopSignal signal = new StopSignal();
        DirectEntry entry = new DirectEntry(loops, loop, platform, settings, clock, log);
        loop.execute(entry::start);
        onHangUp.set(() -> loop.execute(() -> entry.reload("signal")));
        signal.await();
        CompletableFuture<Void> stopped = new CompletableFuture<>();
        loop.execute(() -> entry.stop().whenComplete((done, failure) -> stopped.complete(null)));
        awaitStop(stopped, new StopWait(clock, entry::stopGracePeriod));
        log.close();
        signal.stopped();
    }

    private static void awaitStop(CompletableFuture<Void> stopped, StopWait wait) throws InterruptedException {
        try {
            wait.await(stopped);
        } catch (ExecutionException | TimeoutException e) {
            System.err.println("shutdown did not complete in time: " + e);
        }
    }
}
