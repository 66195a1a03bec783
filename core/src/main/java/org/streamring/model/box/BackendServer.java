package org.streamring.model.box;

/**
 * A backend server and the sidecar beside it, as listed by the platform.
 *
 * @param name unique name of the box
 * @param service service that it serves
 * @param failureDomain failure domain it stands in
 * @param host IP address of its sidecar
 * @param port TCP port of its sidecar
 * @param leaving whether the platform has announced that the box is going away
 */
public record BackendServer(
        String name, String service, String failureDomain, String host, int port, boolean leaving) {}
