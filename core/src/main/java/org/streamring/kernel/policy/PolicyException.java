package org.streamring.kernel.policy;

/** A policy that can't be compiled or evaluated. */
public class PolicyException extends Exception {
    private static final long serialVersionUID = 1L;

    /**
     * Creates one.
     *
     * @param step which expression of which policy
     * @param message what is wrong, with line and column where known
     */
    public PolicyException(String step, String message) {
        super(step + ": " + message);
    }
}
