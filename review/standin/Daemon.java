package standin;

/** Threads that do not keep the process of a case alive. */
public final class Daemon {
    private Daemon() {}

    public static Thread thread(Runnable task) {
        Thread thread = new Thread(null, task, "case", 256 << 10);
        thread.setDaemon(true);
        return thread;
    }

    public static Thread start(Runnable task) {
        Thread thread = thread(task);
        thread.start();
        return thread;
    }
}
