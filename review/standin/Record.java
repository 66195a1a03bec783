package standin;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** record.txt of a case: what was sent, answered and run, with milliseconds since the start. */
public final class Record {
    private static final long START = System.nanoTime();
    private final PrintWriter out;

    public Record(Path folder) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(folder.resolve("record.txt")), true);
        Thread.currentThread().setUncaughtExceptionHandler((thread, failure) -> {
            line("the case could not run: " + failure);
            Runtime.getRuntime().halt(exitAfterKill());
        });
        Daemon.start(() -> {
            try {
                Thread.sleep(110_000);
            } catch (InterruptedException e) {
                return;
            }
            line("not finished within 110 s");
            Runtime.getRuntime().halt(exitAfterKill());
        });
    }

    private static int exitAfterKill() {
        Entry.killAll();
        return 2;
    }

    public synchronized void line(String text) {
        out.printf("%7d %s%n", (System.nanoTime() - START) / 1_000_000, text);
        System.out.println(text);
    }
}
