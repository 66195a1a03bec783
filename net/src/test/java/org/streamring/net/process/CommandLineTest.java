package org.streamring.net.process;

import static org.assertj.core.api.Assertions.assertThat;

import com.github.rvesse.airline.Cli;
import com.github.rvesse.airline.SingleCommand;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import com.github.rvesse.airline.help.Help;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.Callable;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class CommandLineTest {
    private final PrintStream savedOut = System.out;
    private final PrintStream savedErr = System.err;
    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private final ByteArrayOutputStream err = new ByteArrayOutputStream();

    /** Succeeds with the code that it is given. */
    @Command(name = "end", description = "Ends with a code")
    public static final class End implements Callable<Integer> {
        @Option(name = "--code", description = "Exit code")
        @Required
        private int code;

        @Override
        public Integer call() {
            return code;
        }
    }

    /** Fails. */
    @Command(name = "fail", description = "Fails")
    public static final class Fail implements Runnable {
        @Override
        public void run() {
            throw new IllegalStateException("no space left");
        }
    }

    @BeforeMethod
    public void captureOutput() {
        out.reset();
        err.reset();
        System.setOut(new PrintStream(out, true, StandardCharsets.UTF_8));
        System.setErr(new PrintStream(err, true, StandardCharsets.UTF_8));
    }

    @AfterMethod(alwaysRun = true)
    public void restoreOutput() {
        System.setOut(savedOut);
        System.setErr(savedErr);
    }

    private static int run(String... arguments) {
        Cli<Object> program = Cli.builder("tool")
                .withDefaultCommand(Help.class)
                .withCommand(Help.class)
                .withCommand(End.class)
                .withCommand(Fail.class)
                .build();
        return CommandLine.run(program, arguments);
    }

    private static int runSingle(String... arguments) {
        return CommandLine.run(SingleCommand.singleCommand(End.class), arguments);
    }

    private String output() {
        return out.toString(StandardCharsets.UTF_8);
    }

    private String errors() {
        return err.toString(StandardCharsets.UTF_8);
    }

    @Test
    public void theCodeOfACommandIsTheExitCode() {
        assertThat(run("end", "--code", "7")).isEqualTo(7);
        assertThat(runSingle("--code", "5")).isEqualTo(5);
        assertThat(errors()).isEmpty();
    }

    @Test
    public void aMissingOptionIsReportedInOneLine() {
        assertThat(run("end")).isEqualTo(CommandLine.INVALID_ARGUMENTS);
        assertThat(errors().lines()).hasSize(1).first().asString().contains("'--code'");
    }

    @Test
    public void anUnknownArgumentOfASingleCommandIsReportedInOneLine() {
        assertThat(runSingle("--code", "5", "--bogus")).isEqualTo(CommandLine.INVALID_ARGUMENTS);
        assertThat(errors().lines()).hasSize(1).first().asString().contains("--bogus");
    }

    @Test
    public void anUnknownCommandIsReportedInOneLine() {
        assertThat(run("nonsense")).isEqualTo(CommandLine.INVALID_ARGUMENTS);
        assertThat(errors()).isEqualTo("unknown command: nonsense; see 'tool help'\n");
    }

    @Test
    public void helpIsPrintedForTheProgramAndForACommand() {
        assertThat(run("--help")).isEqualTo(CommandLine.OK);
        assertThat(output()).contains("Ends with a code");
        assertThat(run("end", "--help")).isEqualTo(CommandLine.OK);
        assertThat(output()).contains("--code");
        assertThat(errors()).isEmpty();
    }

    @Test
    public void helpIsPrintedForASingleCommand() {
        assertThat(runSingle("--help")).isEqualTo(CommandLine.OK);
        assertThat(output()).contains("--code");
        assertThat(errors()).isEmpty();
    }

    @Test
    public void aCommandThatFailsIsReportedInOneLine() {
        assertThat(run("fail")).isEqualTo(CommandLine.FAILED);
        assertThat(errors().lines()).hasSize(1).first().asString().contains("no space left");
    }
}
