package org.streamring.model.box;

/**
 * Backend server and its sidecar, as listed by the platform.
 *
 * @param name unique name of the box
 * @param service service that it serves
 * @param failureDomain failure domain of the box
 * @param host IP address of its sidecar
 * @param port TCP port of its sidecar
 * @param leaving whether the platform has announced that the box is shutting down
 */
public record BackendServer(
        String name, String service, String failureDomain, String host, int port, boolean leaving) {}
