package org.streamring.cli;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import org.streamring.kernel.config.ConfigChange;
import org.streamring.kernel.ledger.HeldRecord;
import org.streamring.kernel.recovery.HeldResolver;
import org.streamring.kernel.table.PlatformException;
import org.streamring.kernel.table.Row;
import org.streamring.kernel.table.RowKeys;
import org.streamring.kernel.table.RowText;
import org.streamring.net.settings.SettingsException;

/** Commands that show and change budgets. */
final class BudgetCommands {
    private BudgetCommands() {}

    /** Shows the token amounts of budgets. */
    @Command(name = "show", description = "Show budgets: granted, settled, leased, held and remaining tokens")
    public static final class Show extends OperatorCommand {
        @Arguments(title = "budget", description = "Name of a budget; all budgets if omitted")
        private String budget = "";

        @Override
        void execute() throws CommandException, SettingsException, PlatformException {
            withPlatform((client, services) -> {
                Report report = new Report("budget", "granted", "settled", "leased", "held", "remaining");
                for (String name : names(client)) {
                    addRow(client, name, report);
                }
                print(report);
            });
        }

        private List<String> names(OperatorClient client) throws PlatformException, CommandException {
            Map<String, ?> declared = client.state().declarations().budgets();
            if (budget.isEmpty()) {
                return List.copyOf(declared.keySet());
            }
            requireBudget(declared, budget);
            return List.of(budget);
        }

        private static void addRow(OperatorClient client, String name, Report report) throws PlatformException {
            Map<String, Row> rows = client.read(
                    Stream.of(RowKeys.granted(name), RowKeys.settled(name), RowKeys.held(name), RowKeys.remaining(name))
                            .toList());
            long granted = amount(rows, RowKeys.granted(name));
            long settled = amount(rows, RowKeys.settled(name));
            long held = amount(rows, RowKeys.held(name));
            long remaining = amount(rows, RowKeys.remaining(name));
            report.row(name, granted, settled, granted - settled - held - remaining, held, remaining);
        }

        private static long amount(Map<String, Row> rows, String key) {
            Row row = rows.get(key);
            return row == null ? 0 : row.amount();
        }
    }

    private static void requireBudget(Map<String, ?> declared, String budget) throws CommandException {
        if (!declared.containsKey(budget)) {
            throw new CommandException(ExitCode.NOT_POSSIBLE, "no budget has the name " + budget);
        }
    }

    /** Grants tokens to a budget. */
    @Command(name = "top-up", description = "Grant more tokens to a budget")
    public static final class TopUp extends OperatorCommand {
        @Option(name = "--budget", description = "Name of the budget")
        @Required
        private String budget = "";

        @Option(
                name = "--tokens",
                description = "Tokens to grant; a negative number removes tokens that are not leased")
        @Required
        private long tokens;

        @Override
        void execute() throws CommandException, SettingsException, PlatformException {
            withPlatform((client, services) -> {
                requireBudget(client.state().declarations().budgets(), budget);
                ConfigChange.Grant grant = new ConfigChange.Grant(budget, tokens, false);
                long version = requireApplied(
                        client.changeLatest(new OperatorClient.Wanted("top-up", List.of(), List.of(grant), List.of())));
                System.out.println("granted; version " + version);
            });
        }
    }

    /** Lists tokens that are held because it is unknown whether they were spent. */
    @Command(name = "held", description = "List tokens that are held because it is unknown whether they were spent")
    public static final class Held extends OperatorCommand {
        @Override
        void execute() throws CommandException, SettingsException, PlatformException {
            withPlatform((client, services) -> {
                Report report = new Report("id", "budget", "tokens", "lease", "waiting_for");
                for (Row row : client.scan(RowKeys.HELD, "")) {
                    HeldRecord record = RowText.read(row.text(), HeldRecord.class);
                    report.row(
                            row.key().substring(RowKeys.HELD.length()),
                            record.budget(),
                            row.amount(),
                            record.leaseId(),
                            record.waitingFor());
                }
                print(report);
            });
        }
    }

    /** Settles held tokens by a decision of the operator. */
    @Command(
            name = "decide-held",
            description = "Decide how many of the held tokens count as spent; the rest is returned to the budget")
    public static final class DecideHeld extends OperatorCommand {
        @Option(name = "--id", description = "Identifier shown by 'budget held'")
        @Required
        private String id = "";

        @Option(name = "--spent", description = "Tokens that count as spent")
        @Required
        private long spent;

        @Override
        void execute() throws CommandException, SettingsException, PlatformException {
            withPlatform((client, services) -> {
                Row row = client.read(List.of(RowKeys.HELD + id)).get(RowKeys.HELD + id);
                if (row == null) {
                    throw new CommandException(ExitCode.NOT_POSSIBLE, "no tokens are held under identifier " + id);
                }
                if (spent < 0 || spent > row.amount()) {
                    throw new CommandException(ExitCode.BAD_INPUT, "--spent must be between 0 and " + row.amount());
                }
                OperatorClient.Wanted wanted = new OperatorClient.Wanted(
                        "decide-held " + id + " spent " + spent,
                        List.of(),
                        List.of(),
                        new HeldResolver("operator").settleByDecision(row, spent));
                System.out.println("decided; version " + requireApplied(client.changeLatest(wanted)));
            });
        }
    }
}
