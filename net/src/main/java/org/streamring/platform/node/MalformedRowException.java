package org.streamring.platform.node;

/** Thrown if a row of the store cannot be parsed. */
public final class MalformedRowException extends Exception {
    private static final long serialVersionUID = 1L;

    /** Creates an exception with the name of the row and a description of the error. */
    public MalformedRowException(String row, String reason) {
        super("row " + row + ": " + reason);
    }
}
