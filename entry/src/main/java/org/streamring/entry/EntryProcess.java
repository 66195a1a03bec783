package org.streamring.entry;

import io.micrometer.core.instrument.Gauge;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.net.InetSocketAddress;
import java.net.URI;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.streamring.entry.caller.CallerServer;
import org.streamring.entry.config.ConfigurationPoller;
import org.streamring.entry.config.PolicyRegistry;
import org.streamring.entry.ledger.LeaseWaiters;
import org.streamring.entry.ledger.LedgerHolder;
import org.streamring.entry.ledger.LedgerRunner;
import org.streamring.entry.once.ClaimCommitter;
import org.streamring.entry.peer.SidecarLinks;
import org.streamring.entry.recovery.RecoveryRunner;
import org.streamring.entry.recovery.UncertainResolver;
import org.streamring.entry.request.AccountIndex;
import org.streamring.entry.request.RequestAdmitter;
import org.streamring.entry.request.RequestCoordinator;
import org.streamring.entry.request.RequestServices;
import org.streamring.kernel.config.ConfigChange;
import org.streamring.kernel.config.ConfigurationHolder;
import org.streamring.kernel.config.ConfigurationHolder.Configuration;
import org.streamring.kernel.limit.AccountLimiter;
import org.streamring.kernel.limit.RetryBudget;
import org.streamring.kernel.policy.PolicyCompiler;
import org.streamring.kernel.routing.ReplicaSelector;
import org.streamring.kernel.routing.ReplicaTable;
import org.streamring.kernel.routing.RoutingStrategy;
import org.streamring.kernel.routing.SubsetSelector;
import org.streamring.model.declaration.BackendOrder;
import org.streamring.net.peer.FleetKey;
import org.streamring.net.peer.PeerException;
import org.streamring.net.peer.PeerIdentity;
import org.streamring.net.process.AdminServer;
import org.streamring.net.process.IncarnationIds;
import org.streamring.net.process.SettingsProgram;
import org.streamring.net.process.WorkerPool;
import org.streamring.net.settings.SettingValues;
import org.streamring.platform.BillArchive;
import org.streamring.platform.PlatformProvider;

/** Creates and runs the components of an entry; also used in tests. */
public final class EntryProcess implements AutoCloseable, SettingsProgram.Running {
    private static final Logger LOGGER = LoggerFactory.getLogger(EntryProcess.class);
    private static final int EVENT_LOOP_THREADS = 2;
    private static final int WORKER_QUEUE_CAPACITY = 1024;
    private static final double RETRY_RATIO = 0.1;
    private static final long STOP_POLL_MILLIS = 50;

    private final SettingValues settings;
    private final NioEventLoopGroup loops =
            new NioEventLoopGroup(EVENT_LOOP_THREADS, new DefaultThreadFactory("loop", true));
    private final PrometheusMeterRegistry metrics = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
    private final ConfigurationHolder configuration = new ConfigurationHolder();
    private final ReplicaTable replicas = new ReplicaTable();
    private final LeaseWaiters waiters = new LeaseWaiters();
    private final List<PeriodicTask> tasks = new ArrayList<>();
    private final PlatformProvider.Platform platform;
    private final LedgerHolder ledgers;
    private final LedgerRunner ledgerRunner;
    private final SidecarLinks links;
    private final WorkerPool workers;
    private final ClaimCommitter claims;
    private final RequestCoordinator coordinator;
    private final CallerServer callers;
    private final AdminServer admin;
    private volatile boolean stopping;

    /** Creates and starts all components. */
    public EntryProcess(SettingValues settings) throws PeerException {
        this.settings = settings;
        String name = settings.get(EntrySettings.NAME);
        String address = settings.get(EntrySettings.ADDRESS);
        platform = PlatformProvider.named(settings.get(EntrySettings.PLATFORM_PROVIDER))
                .open(
                        URI.create(settings.get(EntrySettings.PLATFORM_URL)),
                        settings.get(EntrySettings.PLATFORM_KEY),
                        settings.get(EntrySettings.PLATFORM_TIMEOUT));
        ledgers = new LedgerHolder(
                name, address + ":" + settings.get(EntrySettings.PORT), EntrySettings.ledger(settings));
        PeerIdentity own = new PeerIdentity(PeerIdentity.Role.ENTRY, name, IncarnationIds.next(name));
        links = new SidecarLinks(loops, new FleetKey(settings.get(EntrySettings.FLEET_KEY)), own, replicas, metrics);
        ledgerRunner = new LedgerRunner(
                ledgers,
                platform.table(),
                new BillArchive(platform.objects()),
                links,
                waiters,
                settings.get(EntrySettings.LEDGER_INTERVAL),
                metrics);
        workers = new WorkerPool("worker", settings.get(EntrySettings.WORKERS), WORKER_QUEUE_CAPACITY);
        claims = new ClaimCommitter(platform.table(), own.incarnation());
        AccountIndex index = new AccountIndex();
        PolicyRegistry policies = new PolicyRegistry(PolicyCompiler.load());
        coordinator = new RequestCoordinator(new RequestAdmitter(index, policies), policies, services());
        configuration.listen((config, changes) -> {
            policies.update(config);
            index.update(config);
            configurationChanged(config, changes);
        });
        links.addListener(new SidecarConnectionListener());
        ledgers.onNewLedger(ledger -> {
            links.connectedIncarnations().forEach(ledger::announcePeer);
            ledger.reportConfigVersion(configuration.current().version());
        });
        startTasks(name);
        callers = new CallerServer(
                loops,
                new InetSocketAddress(address, settings.get(EntrySettings.PORT)),
                settings.get(EntrySettings.MAX_BODY),
                settings.get(EntrySettings.CALL_WAIT),
                settings.get(EntrySettings.READ_WAIT),
                coordinator);
        ledgers.setAddress(address + ":" + callers.port());
        admin = new AdminServer(
                loops, new InetSocketAddress(address, settings.get(EntrySettings.ADMIN_PORT)), metrics, this::ready);
        LOGGER.info(
                "entry_started incarnation={} port={} admin_port={}",
                ledgers.current().incarnation(),
                callers.port(),
                admin.port());
    }

    private RequestServices services() {
        return new RequestServices(
                loops,
                workers,
                ledgers,
                ledgerRunner,
                waiters,
                claims,
                links,
                replicas,
                new ReplicaSelector(
                        RoutingStrategy.named(settings.get(EntrySettings.ROUTING_STRATEGY)), new SplittableRandom()),
                new RetryBudget(RETRY_RATIO),
                new AccountLimiter(),
                metrics,
                settings.get(EntrySettings.LEASE_WAIT),
                settings.get(EntrySettings.FAILURE_DOMAIN));
    }

    private void startTasks(String name) {
        ConfigurationPoller poller = new ConfigurationPoller(platform.table(), configuration);
        SubsetSelector subsets = new SubsetSelector(name, settings.get(EntrySettings.SUBSET));
        BoxPoller boxes = new BoxPoller(platform.boxes(), subsets, replicas, links);
        Duration watchInterval = settings.get(EntrySettings.WATCH_INTERVAL);
        RecoveryRunner recovery = new RecoveryRunner(
                platform.table(),
                new BillArchive(platform.objects()),
                links,
                ledgers,
                ledgerRunner::lastOutageMillis,
                settings.get(EntrySettings.SUSPECT_AFTER),
                watchInterval);
        tasks.add(new PeriodicTask("config", settings.get(EntrySettings.CONFIG_INTERVAL), poller::poll));
        tasks.add(new PeriodicTask("boxes", settings.get(EntrySettings.BOXES_INTERVAL), boxes::poll));
        tasks.add(new PeriodicTask("ping", settings.get(EntrySettings.PING_INTERVAL), this::sendHeartbeats));
        tasks.add(new PeriodicTask("recovery", watchInterval, () -> recovery.runIfDue(System.currentTimeMillis())));
        tasks.forEach(PeriodicTask::start);
        ledgerRunner.start();
        Gauge.builder("streamring.config.version", () -> configuration.current().version())
                .description("Configuration version in force")
                .register(metrics);
        Gauge.builder("streamring.config.stale", configuration::ignoredVersions)
                .description("Older configuration versions offered and ignored")
                .register(metrics);
        Gauge.builder("streamring.attempts.open", links::openAttempts)
                .description("Attempts in progress at sidecars")
                .register(metrics);
    }

    private void sendHeartbeats() {
        Map<String, String> orders = new HashMap<>();
        configuration
                .current()
                .declarations()
                .backends()
                .forEach((name, order) -> orders.put(name, order.state().name().toLowerCase(Locale.ROOT)));
        links.sendHeartbeats(configuration.current().version(), orders);
    }

    private void configurationChanged(Configuration config, List<ConfigChange> changes) {
        Set<String> stopped = new HashSet<>();
        config.declarations().backends().forEach((name, order) -> {
            if (order.state() != BackendOrder.State.START) {
                stopped.add(name);
            }
        });
        replicas.setStoppedByOperator(stopped);
        ledgers.current().reportConfigVersion(config.version());
        changes.stream().flatMap(change -> change.grants().stream()).forEach(grant -> ledgers.current()
                .toppedUp(grant.budget()));
        sendHeartbeats();
    }

    private boolean ready() {
        return !stopping && configuration.current().version() > 0;
    }

    private final class SidecarConnectionListener implements SidecarLinks.Listener {
        private final UncertainResolver uncertain = new UncertainResolver(ledgers, links);

        @Override
        public void sidecarConnected(String incarnation) {
            ledgers.current().announcePeer(incarnation);
            ledgerRunner.requestPlan();
            uncertain.resolve(incarnation);
        }

        @Override
        public void sidecarDisconnected(String incarnation) {
            ledgers.current().retirePeer(incarnation, System.currentTimeMillis());
        }
    }

    /** Returns the port for callers. */
    public int port() {
        return callers.port();
    }

    /** Returns the port for health checks and metrics. */
    public int adminPort() {
        return admin.port();
    }

    /** Returns the incarnation of the ledger in use. */
    public String incarnation() {
        return ledgers.current().incarnation();
    }

    /**
     * Shuts the entry down gracefully: refuses new calls, waits for open requests, for the settlement of the leases and
     * until callers have received their answers, then closes all components.
     */
    @Override
    public void stopGracefully() {
        stopping = true;
        LOGGER.info("entry_stopping open_requests={}", coordinator.openRequests());
        callers.close();
        coordinator.refuseNewCalls();
        long stopDeadlineMillis = System.currentTimeMillis()
                + settings.get(EntrySettings.STOP_WAIT).toMillis();
        waitUntil(stopDeadlineMillis, () -> coordinator.openRequests() == 0 && links.openAttempts() == 0);
        ledgers.current().drainAll();
        ledgerRunner.requestPlan();
        // Also waits while the table is unreachable: after a single lost answer, the leases must not be left for
        // another entry to close.
        long settleDeadlineMillis = System.currentTimeMillis()
                + settings.get(EntrySettings.SETTLE_WAIT).toMillis();
        waitUntil(Math.min(stopDeadlineMillis, settleDeadlineMillis), () -> ledgers.current()
                .isSettled());
        callers.refuseArrivingCalls(RequestCoordinator.stoppingRefusal());
        waitUntil(stopDeadlineMillis, () -> callers.unwrittenAnswers() == 0);
        LOGGER.info(
                "entry_stopped open_requests={} unwritten_answers={} leases={}",
                coordinator.openRequests(),
                callers.unwrittenAnswers(),
                ledgers.current().openLeases());
        close();
    }

    private void waitUntil(long deadlineMillis, java.util.function.BooleanSupplier condition) {
        try {
            while (!condition.getAsBoolean() && System.currentTimeMillis() < deadlineMillis) {
                Thread.sleep(STOP_POLL_MILLIS);
                ledgerRunner.requestPlan();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Override
    public void close() {
        tasks.forEach(PeriodicTask::close);
        ledgerRunner.close();
        claims.close();
        links.close();
        workers.close();
        loops.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
        platform.close();
    }
}
