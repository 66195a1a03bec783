package org.streamring.fleet;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.awaitility.Awaitility;

/** A streamring program that a test starts as a separate process. */
public final class ProgramProcess {
    private static final Pattern PORTS = Pattern.compile("_started .*?\\bport=(\\d+) admin_port=(\\d+)");
    private static final Duration TIMEOUT = Duration.ofSeconds(60);

    private final Process process;
    private final Path log;

    private ProgramProcess(Process process, Path log) {
        this.process = process;
        this.log = log;
    }

    /** Waits until the program has logged the ports on which it listens. */
    private Matcher awaitPorts() {
        Awaitility.await("program starts: " + log)
                .atMost(TIMEOUT)
                .pollInterval(Duration.ofMillis(20))
                .until(() -> PORTS.matcher(log()).find() || !process.isAlive());
        Matcher ports = PORTS.matcher(log());
        if (!ports.find()) {
            throw new IllegalStateException("program did not start: " + log());
        }
        return ports;
    }

    static ProgramProcess start(Path directory, String program, String name, String settings) {
        try {
            Path file = Files.createTempFile(directory, name, ".toml");
            Files.writeString(file, settings);
            Path log = Files.createTempFile(directory, name, ".log");
            Process process = new ProcessBuilder(
                            Fleet.root().resolve("bin/streamring-" + program).toString(), "--settings", file.toString())
                    .redirectErrorStream(true)
                    .redirectOutput(log.toFile())
                    .start();
            return new ProgramProcess(process, log);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    public int port() {
        return Integer.parseInt(awaitPorts().group(1));
    }

    public int adminPort() {
        return Integer.parseInt(awaitPorts().group(2));
    }

    public long pid() {
        return process.pid();
    }

    public boolean isAlive() {
        return process.isAlive();
    }

    public String log() {
        try {
            return Files.readString(log);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Kills the process and waits for its exit. */
    public void kill() {
        process.destroyForcibly();
        awaitExit();
    }

    /** Requests a graceful stop of the process. */
    public void requestStop() {
        process.destroy();
    }

    public void awaitExit() {
        try {
            if (!process.waitFor(TIMEOUT.toSeconds(), TimeUnit.SECONDS)) {
                throw new IllegalStateException("program did not stop: " + log());
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException(e);
        }
    }

    /** Suspends the process, which simulates a long pause of its box. */
    public void pause() {
        signal("-STOP");
    }

    public void resume() {
        signal("-CONT");
    }

    private void signal(String signal) {
        try {
            Process command = new ProcessBuilder("kill", signal, Long.toString(process.pid())).start();
            if (command.waitFor() != 0) {
                throw new IllegalStateException("signal could not be sent to process " + process.pid());
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException(e);
        }
    }
}
