package org.streamring.platform.node;

import org.streamring.kernel.store.RowStore;
import org.streamring.net.settings.SettingsException;

/** The platform as one process meets it. */
public interface NodePlatform {
    /** Reads the settings as they stand now. */
    NodeSettings readSettings() throws SettingsException;

    /** Headers of requests and answers. */
    ForwardingHeaders headers();

    /** The store; its futures complete on the process's event loop. */
    RowStore store();

    /** What operator and backend servers write to the store. */
    OperatorRows operatorRows();

    /** Path of the balancer's question whether the process is ready. */
    String readinessPath();
}
