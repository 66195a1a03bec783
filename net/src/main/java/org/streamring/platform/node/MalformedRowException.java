package org.streamring.platform.node;

/** A row of the store can't be understood. */
public final class MalformedRowException extends Exception {
    private static final long serialVersionUID = 1L;

    /** Creates one that names the row and what is wrong with it. */
    public MalformedRowException(String row, String reason) {
        super("row " + row + ": " + reason);
    }
}
