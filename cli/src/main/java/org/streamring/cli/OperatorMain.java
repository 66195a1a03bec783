package org.streamring.cli;

import com.github.rvesse.airline.Cli;
import com.github.rvesse.airline.builder.CliBuilder;
import com.github.rvesse.airline.help.Help;
import com.github.rvesse.airline.parser.errors.ParseException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;

/** Entry point of the command-line program for operators. */
public final class OperatorMain {
    private static final String HELP_COMMAND = "help";
    private static final String HELP_OPTION = "--help";

    private OperatorMain() {}

    /** Runs a command and exits the JVM with its exit code. */
    public static void main(String[] arguments) {
        System.exit(run(arguments));
    }

    /**
     * Runs a command, or prints its help if the arguments contain {@code --help}.
     *
     * @return the exit code
     */
    public static int run(String... arguments) {
        List<String> words = List.of(arguments);
        if (words.contains(HELP_OPTION)) {
            return help(words.subList(0, words.indexOf(HELP_OPTION)));
        }
        try {
            Object command = commandLine().parse(arguments);
            if (command instanceof Help && !words.isEmpty() && !words.get(0).equals(HELP_COMMAND)) {
                System.err.println("unknown command: " + String.join(" ", words) + "; see 'streamring help'");
                return ExitCode.BAD_INPUT;
            }
            if (command instanceof Callable<?> callable) {
                Object code = callable.call();
                return code instanceof Integer number ? number : ExitCode.OK;
            }
            ((Runnable) command).run();
            return ExitCode.OK;
        } catch (ParseException e) {
            System.err.println(e.getMessage());
            return ExitCode.BAD_INPUT;
        } catch (Exception e) {
            System.err.println("command failed: " + e);
            return 1;
        }
    }

    private static int help(List<String> command) {
        List<String> words = new ArrayList<>(List.of(HELP_COMMAND));
        command.stream().filter(word -> !word.startsWith("-")).forEach(words::add);
        return run(words.toArray(String[]::new));
    }

    private static Cli<Object> commandLine() {
        CliBuilder<Object> builder = Cli.builder("streamring")
                .withDescription("Manages a streamring fleet")
                .withDefaultCommand(Help.class)
                .withCommand(Help.class)
                .withCommand(DeclarationCommands.Check.class)
                .withCommand(DeclarationCommands.Diff.class)
                .withCommand(DeclarationCommands.Apply.class)
                .withCommand(ViewCommands.Status.class)
                .withCommand(ViewCommands.Audit.class)
                .withCommand(ViewCommands.Bills.class);
        builder.withGroup("budget")
                .withDescription("Budgets")
                .withCommand(BudgetCommands.Show.class)
                .withCommand(BudgetCommands.TopUp.class)
                .withCommand(BudgetCommands.Held.class)
                .withCommand(BudgetCommands.DecideHeld.class);
        builder.withGroup("account")
                .withDescription("Client accounts")
                .withCommand(AccountCommands.ListAll.class)
                .withCommand(AccountCommands.Show.class)
                .withCommand(AccountCommands.NewKey.class);
        builder.withGroup("policy").withDescription("Policies").withCommand(PolicyCommands.Test.class);
        builder.withGroup("backend")
                .withDescription("Backend servers")
                .withCommand(BackendCommands.Start.class)
                .withCommand(BackendCommands.Drain.class)
                .withCommand(BackendCommands.Stop.class);
        return builder.build();
    }
}
