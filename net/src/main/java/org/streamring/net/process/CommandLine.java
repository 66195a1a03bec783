package org.streamring.net.process;

import com.github.rvesse.airline.Cli;
import com.github.rvesse.airline.SingleCommand;
import com.github.rvesse.airline.help.Help;
import com.github.rvesse.airline.parser.errors.ParseException;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;

/** Runs what a command line asks for. Arguments that can't be understood are reported in one line. */
public final class CommandLine {
    /** Exit code of a command that succeeded. */
    public static final int OK = 0;
    /** Exit code of a command that failed. */
    public static final int FAILED = 1;
    /** Exit code if the arguments are invalid. */
    public static final int INVALID_ARGUMENTS = 2;

    private static final String HELP_COMMAND = "help";
    private static final String HELP_OPTION = "--help";

    private CommandLine() {}

    /**
     * Runs a command of a program, or prints its help if the arguments contain {@code --help}.
     *
     * @return the exit code
     */
    public static int run(Cli<Object> program, String... arguments) {
        List<String> words = List.of(arguments);
        if (words.contains(HELP_OPTION)) {
            return run(program, helpOn(words.subList(0, words.indexOf(HELP_OPTION))));
        }
        try {
            Object command = program.parse(arguments);
            if (command instanceof Help && !words.isEmpty() && !words.get(0).equals(HELP_COMMAND)) {
                String name = program.getMetadata().getName();
                System.err.println("unknown command: " + String.join(" ", words) + "; see '" + name + " help'");
                return INVALID_ARGUMENTS;
            }
            return execute(command);
        } catch (ParseException e) {
            System.err.println(e.getMessage());
            return INVALID_ARGUMENTS;
        }
    }

    /**
     * Runs a program without commands, or prints its help if the arguments contain {@code --help}.
     *
     * @return the exit code
     */
    public static int run(SingleCommand<? extends Callable<Integer>> program, String... arguments) {
        try {
            if (List.of(arguments).contains(HELP_OPTION)) {
                Help.help(program.getCommandMetadata());
                return OK;
            }
            return execute(program.parse(arguments));
        } catch (ParseException e) {
            System.err.println(e.getMessage());
            return INVALID_ARGUMENTS;
        } catch (IOException e) {
            System.err.println("help can't be printed: " + e);
            return FAILED;
        }
    }

    private static int execute(Object command) {
        try {
            if (command instanceof Callable<?> callable) {
                return callable.call() instanceof Integer code ? code : OK;
            }
            ((Runnable) command).run();
            return OK;
        } catch (Exception e) {
            System.err.println("command failed: " + e);
            return FAILED;
        }
    }

    private static String[] helpOn(List<String> command) {
        List<String> words = new ArrayList<>(List.of(HELP_COMMAND));
        command.stream().filter(word -> !word.startsWith("-")).forEach(words::add);
        return words.toArray(String[]::new);
    }
}
