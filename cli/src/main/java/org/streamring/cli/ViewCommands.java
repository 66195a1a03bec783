package org.streamring.cli;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import java.time.Instant;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.streamring.kernel.config.ConfigChange;
import org.streamring.kernel.ledger.BillItem;
import org.streamring.kernel.ledger.EntryRecord;
import org.streamring.kernel.table.PlatformException;
import org.streamring.kernel.table.Row;
import org.streamring.kernel.table.RowKeys;
import org.streamring.kernel.table.RowText;
import org.streamring.model.box.BackendServer;
import org.streamring.model.declaration.BackendOrder;
import org.streamring.net.settings.SettingsException;
import org.streamring.platform.BillArchive;

/** Commands that show the state of the fleet, the audit trail and the bills. */
final class ViewCommands {
    private ViewCommands() {}

    /** Shows the configuration version, entries and backend servers. */
    @Command(name = "status", description = "Show the configuration version, entries and backend servers")
    public static final class Status extends OperatorCommand {
        @Override
        void execute() throws CommandException, SettingsException, PlatformException {
            withPlatform((client, services) -> {
                OperatorClient.State state = client.state();
                Report report = new Report("kind", "name", "state", "version", "where");
                report.row("configuration", "current", "in force", state.version(), "");
                for (Row row : client.scan(RowKeys.ENTRIES, "")) {
                    EntryRecord record = RowText.read(row.text(), EntryRecord.class);
                    String name = row.key().substring(RowKeys.ENTRIES.length());
                    report.row("entry", name, record.state(), record.configVersion(), record.address());
                }
                for (BackendServer server : services.boxes().backendServers()) {
                    BackendOrder order = state.declarations().backends().get(server.name());
                    String ordered = order == null ? "START" : order.state().name();
                    report.row(
                            "backend",
                            server.name(),
                            (server.leaving() ? "leaving" : "live") + "/" + ordered,
                            server.service(),
                            server.failureDomain() + " " + server.host() + ":" + server.port());
                }
                print(report);
            });
        }
    }

    /** Shows the audit trail. */
    @Command(name = "audit", description = "Show the applied changes with their time and author")
    public static final class Audit extends OperatorCommand {
        /** Maximum width of a table cell in characters; changes of many items would make the table unreadably wide. */
        private static final int MAX_CELL_CHARACTERS = 60;

        @Option(name = "--after", description = "Show only changes after this version")
        private long after;

        @Override
        void execute() throws CommandException, SettingsException, PlatformException {
            withPlatform((client, services) -> {
                Report report = new Report("version", "when", "author", "action", "items", "grants");
                for (Row row : client.scan(RowKeys.CHANGES, RowKeys.change(after))) {
                    ConfigChange change = RowText.read(row.text(), ConfigChange.class);
                    report.row(
                            change.version() - 1 + " -> " + change.version(),
                            Instant.ofEpochMilli(change.epochMillis()),
                            change.author(),
                            change.action(),
                            change.items().stream()
                                    .map(item -> (item.removal() ? "-" : "+") + item.kind() + "." + item.name())
                                    .toList(),
                            change.grants().stream()
                                    .map(grant -> grant.budget() + ":" + grant.tokens())
                                    .toList());
                }
                print(report.withMaxCellWidth(MAX_CELL_CHARACTERS));
            });
        }
    }

    /** Shows bills. */
    @Command(name = "bills", description = "Show the bills, one item per request")
    public static final class Bills extends OperatorCommand {
        @Option(name = "--account", description = "Show only bills of this client account")
        private String account = "";

        @Option(name = "--sum", description = "Show sums per client account")
        private boolean sum;

        @Override
        void execute() throws CommandException, SettingsException, PlatformException {
            withPlatform((client, services) -> {
                List<BillItem> items = new BillArchive(services.objects())
                        .items().stream()
                                .filter(item ->
                                        account.isEmpty() || item.account().equals(account))
                                .toList();
                print(sum ? sums(items) : list(items));
            });
        }

        private static Report list(List<BillItem> items) {
            Report report = new Report("when", "account", "request", "service", "prompt", "answer", "tokens");
            items.forEach(item -> report.row(
                    Instant.ofEpochMilli(item.epochMillis()),
                    item.account(),
                    item.request(),
                    item.service(),
                    item.promptTokens(),
                    item.answerTokens(),
                    item.tokens()));
            return report;
        }

        private static Report sums(List<BillItem> items) {
            Map<String, long[]> sums = new LinkedHashMap<>();
            items.forEach(item -> {
                long[] totals = sums.computeIfAbsent(item.account(), key -> new long[2]);
                totals[0]++;
                totals[1] += item.tokens();
            });
            Report report = new Report("account", "requests", "tokens");
            sums.forEach((name, totals) -> report.row(name, totals[0], totals[1]));
            return report;
        }
    }
}
