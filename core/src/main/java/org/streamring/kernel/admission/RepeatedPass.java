package org.streamring.kernel.admission;

/**
 * A pass over waiting requests. A request that is served or ended by it may ask for the next pass, which follows the
 * one in progress instead of being nested in it: the depth of the stack does not depend on how many requests wait.
 * Confined to
 * one thread.
 */
public final class RepeatedPass {
    private final Runnable pass;
    private boolean running;
    private boolean wanted;

    /** Creates a pass that runs the given task. */
    public RepeatedPass(Runnable pass) {
        this.pass = pass;
    }

    /** Runs the pass; if it is running already, it is repeated when it is over. */
    public void run() {
        wanted = true;
        if (running) {
            return;
        }
        running = true;
        try {
            while (wanted) {
                wanted = false;
                pass.run();
            }
        } finally {
            running = false;
        }
    }
}
