package org.streamring.cli;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.streamring.kernel.config.ChangeSplitter;
import org.streamring.kernel.config.ConfigItem;
import org.streamring.kernel.config.DeclarationDiff;
import org.streamring.kernel.policy.CompiledPolicy;
import org.streamring.kernel.policy.PolicyCompiler;
import org.streamring.kernel.policy.PolicyException;
import org.streamring.kernel.table.PlatformException;
import org.streamring.model.declaration.Declarations;
import org.streamring.model.declaration.PolicyDeclaration;
import org.streamring.net.settings.DeclarationReader;
import org.streamring.net.settings.SettingsException;

/** Commands that check, compare and apply declaration files. */
final class DeclarationCommands {
    private DeclarationCommands() {}

    /** Base class of commands that read declaration files and compile their policies. */
    abstract static class FileCommand extends OperatorCommand {
        @Arguments(
                title = "file",
                description = "Declaration files (TOML), which together declare the whole configuration")
        @Required
        private List<String> files = new ArrayList<>();

        Declarations declarations() throws SettingsException {
            Declarations declared =
                    DeclarationReader.read(files.stream().map(Path::of).toList());
            compile(declared);
            return declared;
        }

        /**
         * Compiles all policies.
         *
         * @throws SettingsException if policies cannot be compiled; its message lists all of them
         */
        Map<String, CompiledPolicy> compile(Declarations declared) throws SettingsException {
            Map<String, CompiledPolicy> compiled = new TreeMap<>();
            List<String> errors = new ArrayList<>();
            PolicyCompiler compiler = PolicyCompiler.load();
            for (Map.Entry<String, PolicyDeclaration> policy :
                    declared.policies().entrySet()) {
                try {
                    compiled.put(policy.getKey(), compiler.compile(policy.getKey(), policy.getValue()));
                } catch (PolicyException e) {
                    errors.add("policies." + e.getMessage());
                }
            }
            if (!errors.isEmpty()) {
                throw new SettingsException(files.toString(), errors);
            }
            return compiled;
        }
    }

    /** Checks declaration files. */
    @Command(name = "check", description = "Check declaration files and report all errors")
    public static final class Check extends FileCommand {
        @Override
        void execute() throws SettingsException {
            declarations();
            System.out.println("declarations are valid");
        }
    }

    /** Shows the changes that applying declaration files would make. */
    @Command(name = "diff", description = "Show the changes that applying declaration files would make")
    public static final class Diff extends FileCommand {
        @Override
        void execute() throws CommandException, SettingsException, PlatformException {
            Declarations wanted = declarations();
            withPlatform((client, services) -> {
                OperatorClient.State state = client.state();
                print(report(DeclarationDiff.between(state.declarations(), wanted), state));
                System.err.println("version in force: " + state.version());
            });
        }
    }

    private static Report report(DeclarationDiff diff, OperatorClient.State state) {
        Report report = new Report("change", "item", "value");
        for (ConfigItem item : diff.items()) {
            boolean existed = state.items().containsKey(item.rowKey());
            String change = item.removal() ? "remove" : existed ? "replace" : "add";
            report.row(change, item.kind() + "." + item.name(), item.json());
        }
        diff.grants().forEach(grant -> report.row("grant", "budgets." + grant.budget(), grant.tokens()));
        return report;
    }

    /** Applies declaration files. */
    @Command(name = "apply", description = "Apply declaration files")
    public static final class Apply extends FileCommand {
        private static final long ANY_VERSION = -1;

        @Option(name = "--expect-version", description = "Apply only on top of this version")
        private long expectVersion = ANY_VERSION;

        @Override
        void execute() throws CommandException, SettingsException, PlatformException {
            Declarations wanted = declarations();
            withPlatform((client, services) -> apply(client, wanted));
        }

        private void apply(OperatorClient client, Declarations wanted) throws CommandException, PlatformException {
            OperatorClient.State state = client.state();
            if (expectVersion != ANY_VERSION && state.version() != expectVersion) {
                throw new CommandException(
                        ExitCode.CONFLICT,
                        "not applied: version %d was expected, %d is in force"
                                .formatted(expectVersion, state.version()));
            }
            DeclarationDiff diff = DeclarationDiff.between(state.declarations(), wanted);
            if (diff.isEmpty()) {
                System.out.println("nothing to change; version " + state.version());
                return;
            }
            long version = state.version();
            for (DeclarationDiff part : ChangeSplitter.split(diff)) {
                OperatorClient.State current = client.state();
                if (current.version() != version) {
                    throw new CommandException(
                            ExitCode.CONFLICT,
                            "applied up to version %d; another operator has changed the configuration to version %d"
                                    .formatted(version, current.version()));
                }
                version = requireApplied(client.change(
                        current, new OperatorClient.Wanted("apply", part.items(), part.grants(), List.of())));
            }
            System.out.println("applied; version " + version);
        }
    }
}
