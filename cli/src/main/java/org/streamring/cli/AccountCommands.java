package org.streamring.cli;

import static java.nio.charset.StandardCharsets.US_ASCII;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.restrictions.Required;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.security.SecureRandom;
import java.util.Base64;
import java.util.HexFormat;
import java.util.List;
import org.streamring.kernel.ledger.BillItem;
import org.streamring.kernel.table.PlatformException;
import org.streamring.kernel.table.RowKeys;
import org.streamring.model.declaration.AccountDeclaration;
import org.streamring.net.settings.SettingsException;
import org.streamring.platform.BillArchive;

/** Commands that show client accounts and create keys for them. */
final class AccountCommands {
    private static final int KEY_BYTES = 32;

    private AccountCommands() {}

    /** Lists all client accounts. */
    @Command(name = "list", description = "List client accounts")
    public static final class ListAll extends OperatorCommand {
        @Override
        void execute() throws CommandException, SettingsException, PlatformException {
            withPlatform((client, services) -> {
                Report report = new Report("account", "budget", "class", "services", "max_concurrent", "per_second");
                client.state()
                        .declarations()
                        .accounts()
                        .forEach((name, account) -> report.row(
                                name,
                                account.budget(),
                                account.priorityClass(),
                                account.services(),
                                account.maxConcurrent(),
                                account.requestsPerSecond()));
                print(report);
            });
        }
    }

    /** Shows a client account with its budget and bills. */
    @Command(
            name = "show",
            description = "Show a client account: its services, its bills and the remaining tokens of its budget")
    public static final class Show extends OperatorCommand {
        @Arguments(title = "account", description = "Name of the client account")
        @Required
        private String name = "";

        @Override
        void execute() throws CommandException, SettingsException, PlatformException {
            withPlatform((client, services) -> {
                AccountDeclaration account =
                        client.state().declarations().accounts().get(name);
                if (account == null) {
                    throw new CommandException(ExitCode.NOT_POSSIBLE, "no client account has the name " + name);
                }
                List<BillItem> bills = new BillArchive(services.objects())
                        .items().stream()
                                .filter(item -> item.account().equals(name))
                                .toList();
                String remainingKey = RowKeys.remaining(account.budget());
                long remaining = client.read(List.of(remainingKey)).values().stream()
                        .mapToLong(row -> row.amount())
                        .sum();
                print(new Report("account", "budget", "remaining", "class", "services", "requests", "tokens")
                        .row(
                                name,
                                account.budget(),
                                remaining,
                                account.priorityClass(),
                                account.services(),
                                bills.size(),
                                bills.stream().mapToLong(BillItem::tokens).sum()));
            });
        }
    }

    /** Creates a key for a client account. */
    @Command(
            name = "new-key",
            description = "Create a key for a client account, and the hash to declare; neither is stored")
    public static final class NewKey extends OperatorCommand {
        @Override
        void execute() {
            byte[] random = new byte[KEY_BYTES];
            new SecureRandom().nextBytes(random);
            String key = "sr-" + Base64.getUrlEncoder().withoutPadding().encodeToString(random);
            print(new Report("key", "key_sha256").row(key, sha256(key)));
        }

        private static String sha256(String key) {
            try {
                byte[] hash = MessageDigest.getInstance("SHA-256").digest(key.getBytes(US_ASCII));
                return HexFormat.of().formatHex(hash);
            } catch (NoSuchAlgorithmException e) {
                throw new IllegalStateException("every Java platform has SHA-256", e);
            }
        }
    }
}
