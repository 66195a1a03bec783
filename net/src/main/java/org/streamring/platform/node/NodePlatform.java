package org.streamring.platform.node;

import org.streamring.kernel.store.RowStore;
import org.streamring.net.settings.SettingsException;

/** Platform services and settings available to one process. */
public interface NodePlatform {
    /** Reads the current settings. */
    NodeSettings readSettings() throws SettingsException;

    /** Returns the names of the request and response headers. */
    ForwardingHeaders headers();

    /** Returns the store; its futures complete on the event loop of the process. */
    RowStore store();

    /** Returns the parser of the rows written by the operator and the backend servers. */
    OperatorRows operatorRows();

    /** Returns the path of the readiness checks of the load balancer. */
    String readinessPath();
}
