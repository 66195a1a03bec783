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
import org.streamring.kernel.receipt.ReceiptBook;
import org.streamring.net.peer.FleetKey;
import org.streamring.net.peer.PeerException;
import org.streamring.net.peer.PeerIdentity;
import org.streamring.net.peer.PeerServer;
import org.streamring.net.process.AdminServer;
import org.streamring.net.process.Incarnations;
import org.streamring.net.process.SettingsProgram;
import org.streamring.net.settings.SettingValues;
import org.streamring.sidecar.backend.BackendClient;
import org.streamring.sidecar.backend.BackendSettings;

/** A sidecar, put together from its parts; also usable inside a test. */
public final class SidecarProcess implements AutoCloseable, SettingsProgram.Running {
    private static final Logger LOGGER = LoggerFactory.getLogger(SidecarProcess.class);
    private static final int LOOPS = 2;
    private static final long TIDY_MILLIS = 200;
    private static final long STOP_POLL_MILLIS = 50;
    private static final long LINGER_MILLIS = 1_000;

    private final SettingValues settings;
    private final NioEventLoopGroup loops = new NioEventLoopGroup(LOOPS, new DefaultThreadFactory("loop", true));
    private final PrometheusMeterRegistry metrics = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
    private final ReceiptBook book;
    private final BackendClient backend;
    private final EntryFrames frames;
    private final PeerServer server;
    private final AdminServer admin;
    private final String incarnation;

    /** Starts everything. */
    public SidecarProcess(SettingValues settings) throws PeerException {
        this.settings = settings;
        String name = settings.get(SidecarSettings.NAME);
        String address = settings.get(SidecarSettings.ADDRESS);
        incarnation = Incarnations.next(name);
        book = new ReceiptBook(SidecarSettings.receiptBook(settings));
        backend = new BackendClient(new BackendSettings(
                URI.create(settings.get(SidecarSettings.BACKEND_URL)),
                settings.get(SidecarSettings.BACKEND_CANCEL).equals("call"),
                settings.get(SidecarSettings.CANCEL_MARGIN),
                settings.get(SidecarSettings.CANCEL_WAIT),
                settings.get(SidecarSettings.MAX_ANSWER)));
        AttemptRunner runner = new AttemptRunner(incarnation, book, backend, metrics);
        frames = new EntryFrames(book, runner);
        registerGauges();
        loops.scheduleAtFixedRate(runner::tidy, TIDY_MILLIS, TIDY_MILLIS, TimeUnit.MILLISECONDS);
        server = new PeerServer(
                loops,
                new InetSocketAddress(address, settings.get(SidecarSettings.PORT)),
                new FleetKey(settings.get(SidecarSettings.FLEET_KEY)),
                new PeerIdentity(PeerIdentity.Role.SIDECAR, name, incarnation),
                frames);
        admin = new AdminServer(
                loops,
                new InetSocketAddress(address, settings.get(SidecarSettings.ADMIN_PORT)),
                metrics,
                () -> !book.isLeaving());
        LOGGER.info("sidecar_started incarnation={} port={} admin_port={}", incarnation, server.port(), admin.port());
    }

    private void registerGauges() {
        Gauge.builder("streamring.receipts", book::receiptCount)
                .description("Receipts not yet settled")
                .register(metrics);
        Gauge.builder("streamring.attempts.running", book::running)
                .description("Attempts in progress at the backend server")
                .register(metrics);
    }

    /** Port for entries. */
    public int port() {
        return server.port();
    }

    /** Port for health and metrics. */
    public int adminPort() {
        return admin.port();
    }

    /** This run of the sidecar. */
    public String incarnation() {
        return incarnation;
    }

    /** Stops in order: no new work, open attempts finish, their receipts are settled, then everything closes. */
    @Override
    public void stopInOrder() {
        frames.leaveForGood();
        LOGGER.info("sidecar_stopping running={}", book.running());
        long until = System.currentTimeMillis()
                + settings.get(SidecarSettings.STOP_WAIT).toMillis();
        try {
            while (book.running() > 0 && System.currentTimeMillis() < until) {
                Thread.sleep(STOP_POLL_MILLIS);
            }
            // Entries have the last frames of every answer now; what they settle needs no receipt any more.
            Thread.sleep(LINGER_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        LOGGER.info("sidecar_stopped running={} receipts={}", book.running(), book.receiptCount());
        close();
    }

    @Override
    public void close() {
        server.close();
        backend.close();
        loops.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
    }
}
