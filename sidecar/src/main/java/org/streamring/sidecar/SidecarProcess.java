package org.streamring.sidecar;

import io.micrometer.core.instrument.Gauge;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.net.InetSocketAddress;
import java.net.URI;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.streamring.kernel.receipt.ReceiptStore;
import org.streamring.net.peer.FleetKey;
import org.streamring.net.peer.PeerException;
import org.streamring.net.peer.PeerIdentity;
import org.streamring.net.peer.PeerServer;
import org.streamring.net.process.AdminServer;
import org.streamring.net.process.IncarnationIds;
import org.streamring.net.process.SettingsProgram;
import org.streamring.net.settings.SettingValues;
import org.streamring.sidecar.backend.BackendClient;
import org.streamring.sidecar.backend.BackendSettings;

/** Creates and connects the components of a sidecar. Tests may run it inside their own process. */
public final class SidecarProcess implements AutoCloseable, SettingsProgram.Running {
    private static final Logger LOGGER = LoggerFactory.getLogger(SidecarProcess.class);
    private static final int EVENT_LOOP_THREADS = 2;
    private static final long CLEANUP_INTERVAL_MILLIS = 200;
    private static final long STOP_POLL_MILLIS = 50;
    private static final long SETTLEMENT_WAIT_MILLIS = 1_000;

    private final SettingValues settings;
    private final NioEventLoopGroup eventLoops =
            new NioEventLoopGroup(EVENT_LOOP_THREADS, new DefaultThreadFactory("loop", true));
    private final PrometheusMeterRegistry metrics = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
    private final ReceiptStore receiptStore;
    private final BackendClient backend;
    private final EntryFrameHandler entryFrameHandler;
    private final PeerServer server;
    private final AdminServer admin;
    private final String incarnation;

    /**
     * Starts the event loops, the server for entries and the admin server.
     *
     * @throws PeerException if the server for entries cannot be started
     */
    public SidecarProcess(SettingValues settings) throws PeerException {
        this.settings = settings;
        String name = settings.get(SidecarSettings.NAME);
        String address = settings.get(SidecarSettings.ADDRESS);
        incarnation = IncarnationIds.next(name);
        receiptStore = new ReceiptStore(SidecarSettings.receiptStoreSettings(settings));
        backend = new BackendClient(new BackendSettings(
                URI.create(settings.get(SidecarSettings.BACKEND_URL)),
                settings.get(SidecarSettings.BACKEND_CANCEL).equals("call"),
                settings.get(SidecarSettings.CANCEL_MARGIN),
                settings.get(SidecarSettings.CANCEL_WAIT),
                settings.get(SidecarSettings.MAX_ANSWER)));
        AttemptRunner runner = new AttemptRunner(incarnation, receiptStore, backend, metrics);
        entryFrameHandler = new EntryFrameHandler(receiptStore, runner);
        registerGauges();
        eventLoops.scheduleAtFixedRate(
                runner::cleanUp, CLEANUP_INTERVAL_MILLIS, CLEANUP_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
        server = new PeerServer(
                eventLoops,
                new InetSocketAddress(address, settings.get(SidecarSettings.PORT)),
                new FleetKey(settings.get(SidecarSettings.FLEET_KEY)),
                new PeerIdentity(PeerIdentity.Role.SIDECAR, name, incarnation),
                entryFrameHandler);
        admin = new AdminServer(
                eventLoops,
                new InetSocketAddress(address, settings.get(SidecarSettings.ADMIN_PORT)),
                metrics,
                () -> !receiptStore.isShuttingDown());
        LOGGER.info("sidecar_started incarnation={} port={} admin_port={}", incarnation, server.port(), admin.port());
    }

    private void registerGauges() {
        Gauge.builder("streamring.receipts", receiptStore::receiptCount)
                .description("Receipts not yet settled")
                .register(metrics);
        Gauge.builder("streamring.attempts.running", receiptStore::running)
                .description("Attempts in progress at the backend server")
                .register(metrics);
    }

    /** Returns the TCP port on which entries are served. */
    public int port() {
        return server.port();
    }

    /** Returns the TCP port for health and metrics. */
    public int adminPort() {
        return admin.port();
    }

    /** Returns the incarnation, which identifies this run of the sidecar. */
    public String incarnation() {
        return incarnation;
    }

    /**
     * Stops gracefully: refuses new attempts, waits until the running attempts have ended and the entries had time to
     * settle their receipts, then closes all connections.
     */
    @Override
    public void stopGracefully() {
        entryFrameHandler.refuseNewAttemptsUntilExit();
        LOGGER.info("sidecar_stopping running={}", receiptStore.running());
        long deadlineMillis = System.currentTimeMillis()
                + settings.get(SidecarSettings.STOP_WAIT).toMillis();
        try {
            while (receiptStore.running() > 0 && System.currentTimeMillis() < deadlineMillis) {
                Thread.sleep(STOP_POLL_MILLIS);
            }
            // Entries have received the last frames of every answer; attempts that they settle now need no receipt.
            Thread.sleep(SETTLEMENT_WAIT_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        LOGGER.info("sidecar_stopped running={} receipts={}", receiptStore.running(), receiptStore.receiptCount());
        close();
    }

    @Override
    public void close() {
        server.close();
        backend.close();
        eventLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
    }
}
