package org.streamring.cli;

import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.OptionType;
import com.github.rvesse.airline.annotations.restrictions.AllowedRawValues;
import java.net.URI;
import java.time.Duration;
import java.util.concurrent.Callable;
import org.streamring.kernel.table.PlatformException;
import org.streamring.net.settings.SettingsException;
import org.streamring.platform.PlatformProvider;

/** Base class of all commands. Holds the options for the platform, its access key, the author and the output format. */
abstract class OperatorCommand implements Callable<Integer> {
    private static final Duration PLATFORM_TIMEOUT = Duration.ofSeconds(5);

    @Option(
            name = "--platform",
            type = OptionType.GLOBAL,
            description = "Address of the platform's services (or STREAMRING_PLATFORM)")
    private String platform = environment("STREAMRING_PLATFORM", "");

    @Option(
            name = "--operator-key",
            type = OptionType.GLOBAL,
            description = "The operator's access key to the platform (or STREAMRING_OPERATOR_KEY)")
    private String operatorKey = environment("STREAMRING_OPERATOR_KEY", "");

    @Option(
            name = "--author",
            type = OptionType.GLOBAL,
            description = "Author of the change in the audit trail (or STREAMRING_AUTHOR)")
    private String author = environment("STREAMRING_AUTHOR", environment("USER", "unknown"));

    @Option(name = "--output", type = OptionType.GLOBAL, description = "Output format: table or json")
    @AllowedRawValues(allowedValues = {"table", "json"})
    private String output = "table";

    private static String environment(String name, String defaultValue) {
        String value = System.getenv(name);
        return value == null ? defaultValue : value;
    }

    @Override
    public Integer call() {
        try {
            execute();
            return ExitCode.OK;
        } catch (SettingsException e) {
            System.err.println(e.getMessage());
            return ExitCode.BAD_INPUT;
        } catch (CommandException e) {
            System.err.println(e.getMessage());
            return e.exitCode();
        } catch (PlatformException e) {
            System.err.println("no answer from the platform: " + e.getMessage());
            return ExitCode.UNAVAILABLE;
        }
    }

    abstract void execute() throws CommandException, SettingsException, PlatformException;

    /** An action that uses the services of the platform. */
    interface PlatformAction {
        void run(OperatorClient client, PlatformProvider.Platform services)
                throws CommandException, PlatformException, SettingsException;
    }

    void withPlatform(PlatformAction action) throws CommandException, PlatformException, SettingsException {
        if (platform.isEmpty() || operatorKey.isEmpty()) {
            throw new CommandException(
                    ExitCode.BAD_INPUT, "--platform and --operator-key (or their environment variables) must be given");
        }
        try (PlatformProvider.Platform services =
                PlatformProvider.named("http").open(URI.create(platform), operatorKey, PLATFORM_TIMEOUT)) {
            action.run(new OperatorClient(services.table(), author), services);
        }
    }

    void print(Report report) {
        System.out.println(report.text(output.equals("json")));
    }

    /**
     * Returns the version at which a change was applied.
     *
     * @throws CommandException if the change was not applied
     */
    static long requireApplied(OperatorClient.Outcome outcome) throws CommandException {
        if (outcome instanceof OperatorClient.Outcome.Applied applied) {
            return applied.version();
        }
        if (outcome instanceof OperatorClient.Outcome.Conflict conflict) {
            throw new CommandException(
                    ExitCode.CONFLICT,
                    "not applied: the configuration is at version %d, changed by %s; read the difference with 'diff'"
                            .formatted(conflict.version(), conflict.changedBy()));
        }
        OperatorClient.Outcome.Impossible impossible = (OperatorClient.Outcome.Impossible) outcome;
        throw new CommandException(ExitCode.NOT_POSSIBLE, "not applied: " + impossible.reason());
    }
}
