package org.streamring.sidecar;

import java.time.Duration;
import java.util.Set;
import org.streamring.kernel.receipt.ReceiptBookSettings;
import org.streamring.net.settings.Setting;
import org.streamring.net.settings.SettingValues;
import org.streamring.net.settings.SettingsSchema;

/** Defines the settings of a sidecar. */
public final class SidecarSettings {
    /** Schema with all settings of a sidecar. */
    public static final SettingsSchema SCHEMA = new SettingsSchema();

    private static final String IP_ADDRESS_PATTERN = "[0-9a-fA-F.:]+";
    private static final int MAX_PORT = 65_535;

    public static final Setting<String> NAME =
            SCHEMA.text("name", "", "[a-z0-9][a-z0-9.-]*", "Name of the backend server's box, as in the box list.");
    public static final Setting<String> FLEET_KEY =
            SCHEMA.text("fleet_key", "", ".{16,}", "Secret shared by the processes of the fleet.");
    public static final Setting<String> ADDRESS =
            SCHEMA.text("listen.address", "127.0.0.1", IP_ADDRESS_PATTERN, "IP address on which entries are served.");
    public static final Setting<Integer> PORT =
            SCHEMA.integer("listen.port", "7070", 0, MAX_PORT, "TCP port for entries; 0 for any free one.");
    public static final Setting<Integer> ADMIN_PORT =
            SCHEMA.integer("listen.admin_port", "0", 0, MAX_PORT, "TCP port for /metrics, /health and /ready.");
    public static final Setting<String> BACKEND_URL =
            SCHEMA.text("backend.url", "", "http://.+", "Address of the backend server, by IP number.");
    public static final Setting<String> BACKEND_CANCEL = SCHEMA.choice(
            "backend.cancel",
            "call",
            Set.of("call", "close"),
            "How work is cancelled: by the engine's cancel call, or by closing the connection.");
    public static final Setting<Integer> CANCEL_MARGIN = SCHEMA.integer(
            "backend.cancel_margin_tokens",
            "16",
            0,
            100_000,
            "Tokens charged beyond the last report when an answer ends without its usage.");
    public static final Setting<Duration> CANCEL_WAIT =
            SCHEMA.duration("backend.cancel_wait", "2s", "Longest wait for the usage of cancelled work.");
    public static final Setting<Integer> MAX_RUNNING =
            SCHEMA.integer("limits.running", "64", 1, 10_000, "Most requests in progress at the backend server.");
    public static final Setting<Integer> MAX_ANSWER =
            SCHEMA.integer("limits.answer_bytes", "4194304", 1024, 64 << 20, "Largest answer that is not streamed.");
    public static final Setting<Integer> RETAINED_ANSWER_BYTES = SCHEMA.integer(
            "once.answer_bytes", "16777216", 0, 1 << 30, "Memory for answers kept for retries of callers.");
    public static final Setting<Duration> ANSWER_RETENTION =
            SCHEMA.duration("once.answer_retention", "10m", "How long answers are kept for retries of callers.");
    public static final Setting<Duration> NON_REPEATABLE_RETENTION =
            SCHEMA.duration("once.retention", "24h", "How long it is remembered that a not repeatable request ran.");
    public static final Setting<Integer> MAX_RECORDED_REQUESTS =
            SCHEMA.integer("once.remembered", "200000", 1, 10_000_000, "Most requests that are remembered.");
    public static final Setting<Duration> STOP_WAIT =
            SCHEMA.duration("stop.wait", "60s", "Longest wait for open requests when the process is asked to stop.");

    private SidecarSettings() {}

    /** Returns the limits of the receipt store. */
    public static ReceiptBookSettings receiptStoreSettings(SettingValues values) {
        return new ReceiptBookSettings(
                values.get(MAX_RUNNING),
                values.get(ANSWER_RETENTION),
                values.get(RETAINED_ANSWER_BYTES),
                values.get(NON_REPEATABLE_RETENTION),
                values.get(MAX_RECORDED_REQUESTS));
    }
}
