package org.streamring.kernel.policy;

/** Thrown if a policy cannot be compiled or evaluated. */
public class PolicyException extends Exception {
    private static final long serialVersionUID = 1L;

    /**
     * Creates an exception.
     *
     * @param step expression and policy in which the error occurred
     * @param message description of the error, with line and column if known
     */
    public PolicyException(String step, String message) {
        super(step + ": " + message);
    }
}
