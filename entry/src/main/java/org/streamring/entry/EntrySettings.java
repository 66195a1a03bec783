package org.streamring.entry;

import java.time.Duration;
import java.util.Set;
import org.streamring.kernel.ledger.LedgerSettings;
import org.streamring.kernel.routing.RoutingStrategy;
import org.streamring.net.settings.Setting;
import org.streamring.net.settings.SettingValues;
import org.streamring.net.settings.SettingsSchema;

/** Settings of an entry. */
public final class EntrySettings {
    /** Schema of all settings of an entry. */
    public static final SettingsSchema SCHEMA = new SettingsSchema();

    private static final String IP = "[0-9a-fA-F.:]+";
    private static final int MAX_PORT = 65_535;

    public static final Setting<String> NAME =
            SCHEMA.text("name", "", "[a-z0-9][a-z0-9.-]*", "Name of this box, unique in the fleet.");
    public static final Setting<String> FAILURE_DOMAIN =
            SCHEMA.text("failure_domain", "", "[a-z0-9][a-z0-9.-]*", "Failure domain that this box stands in.");
    public static final Setting<String> FLEET_KEY =
            SCHEMA.text("fleet_key", "", ".{16,}", "Secret shared by the processes of the fleet.");
    public static final Setting<String> ADDRESS =
            SCHEMA.text("listen.address", "127.0.0.1", IP, "IP address on which callers are served.");
    public static final Setting<Integer> PORT =
            SCHEMA.integer("listen.port", "8080", 0, MAX_PORT, "TCP port for callers; 0 for any free one.");
    public static final Setting<Integer> ADMIN_PORT =
            SCHEMA.integer("listen.admin_port", "0", 0, MAX_PORT, "TCP port for /metrics, /health and /ready.");
    public static final Setting<String> PLATFORM_PROVIDER =
            SCHEMA.text("platform.provider", "http", "[a-z0-9-]+", "Adapter to the platform's services.");
    public static final Setting<String> PLATFORM_URL =
            SCHEMA.text("platform.url", "", "https?://.+", "Address of the platform's services, by IP number.");
    public static final Setting<String> PLATFORM_KEY =
            SCHEMA.text("platform.key", "", ".{8,}", "Access key to the platform's services.");
    public static final Setting<Duration> PLATFORM_TIMEOUT =
            SCHEMA.duration("platform.timeout", "1s", "Longest wait for one answer of the platform.");
    public static final Setting<String> LEDGER_PROFILE = SCHEMA.choice(
            "ledger.profile",
            "patient",
            Set.of("patient", "prompt", "fixed"),
            "How leases are held: patient refuses least, prompt settles soonest, fixed is the baseline.");
    public static final Setting<Integer> LEDGER_FIXED_TOKENS = SCHEMA.integer(
            "ledger.fixed_tokens", "10000", 1, Integer.MAX_VALUE, "Lease size of the fixed profile, in tokens.");
    public static final Setting<Duration> LEDGER_INTERVAL =
            SCHEMA.duration("ledger.interval", "2s", "Time between ledger transactions when no request waits.");
    public static final Setting<Duration> LEASE_WAIT =
            SCHEMA.duration("ledger.lease_wait", "2s", "Longest time that a request waits for a lease.");
    public static final Setting<Duration> CONFIG_INTERVAL =
            SCHEMA.duration("config.interval", "2s", "Time between looks at the configuration version.");
    public static final Setting<Duration> BOXES_INTERVAL =
            SCHEMA.duration("boxes.interval", "2s", "Time between reads of the box list.");
    public static final Setting<Duration> PING_INTERVAL =
            SCHEMA.duration("peers.ping_interval", "2s", "Time between heartbeats to a sidecar.");
    public static final Setting<Integer> SUBSET =
            SCHEMA.integer("peers.per_service", "32", 1, 1024, "Most sidecars per service to keep connections to.");
    public static final Setting<String> ROUTING_STRATEGY = SCHEMA.choice(
            "routing.strategy",
            RoutingStrategy.ADAPTIVE.text(),
            Set.of("adaptive", "least-of-two", "round-robin"),
            "How a backend server is chosen; all but adaptive are baselines that ignore the policy's score.");
    public static final Setting<Duration> WATCH_INTERVAL =
            SCHEMA.duration("recovery.interval", "5s", "Time between looks at other entries and at held tokens.");
    public static final Setting<Duration> SUSPECT_AFTER = SCHEMA.duration(
            "recovery.suspect_after", "30s", "Time without a sign of life after which an entry's leases are closed.");
    public static final Setting<Integer> WORKERS =
            SCHEMA.integer("workers", "4", 1, 64, "Threads that decide on requests.");
    public static final Setting<Integer> MAX_BODY =
            SCHEMA.integer("limits.body_bytes", "1048576", 1024, 4 << 20, "Largest request body.");
    public static final Setting<Duration> CALL_WAIT =
            SCHEMA.duration("limits.call_wait", "30s", "Longest time that a call may take to arrive whole.");
    public static final Setting<Duration> READ_WAIT =
            SCHEMA.duration("limits.read_wait", "30s", "Longest time that a caller may read nothing of its answer.");

    /** Longest wait for the table during a planned stop. */
    public static final Setting<Duration> SETTLE_WAIT = SCHEMA.duration(
            "stop.settle_wait",
            "5s",
            "Longest wait for leases to be settled when open requests have ended at a stop; what is left is closed by "
                    + "another entry.");

    public static final Setting<Duration> STOP_WAIT =
            SCHEMA.duration("stop.wait", "60s", "Longest wait for open requests when the process is asked to stop.");

    private EntrySettings() {}

    /** Returns the ledger settings of the selected profile. */
    public static LedgerSettings ledger(SettingValues values) {
        return switch (values.get(LEDGER_PROFILE)) {
            case "prompt" -> LedgerSettings.prompt();
            case "fixed" -> LedgerSettings.fixed(values.get(LEDGER_FIXED_TOKENS));
            default -> LedgerSettings.patient();
        };
    }
}
