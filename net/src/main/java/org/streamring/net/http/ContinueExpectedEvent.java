package org.streamring.net.http;

/** Event of a connection: the caller waits for an interim answer before it sends the body of its request. */
public final class ContinueExpectedEvent {
    /** The only instance. */
    public static final ContinueExpectedEvent INSTANCE = new ContinueExpectedEvent();

    private ContinueExpectedEvent() {}
}
