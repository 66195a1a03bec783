package org.streamring.cli;

import com.github.rvesse.airline.Cli;
import com.github.rvesse.airline.builder.CliBuilder;
import com.github.rvesse.airline.help.Help;
import org.streamring.net.process.CommandLine;

/** Entry point of the command-line program for operators. */
public final class OperatorMain {
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
        return CommandLine.run(commandLine(), arguments);
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
