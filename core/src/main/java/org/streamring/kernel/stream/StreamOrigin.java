package org.streamring.kernel.stream;

/**
 * What began a stream. Only servers of the same service and software version can continue it, on behalf of the same
 * client account.
 *
 * @param service service whose server sent the first event
 * @param softwareVersion software version of that server; {@link #UNKNOWN_VERSION} if its process was replaced
 * @param account name of the client account; empty if the route needs none
 */
public record StreamOrigin(String service, String softwareVersion, String account) {
    /** Version that no server has. */
    public static final String UNKNOWN_VERSION = "";
}
