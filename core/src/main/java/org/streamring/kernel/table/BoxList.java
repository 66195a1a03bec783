package org.streamring.kernel.table;

import java.util.List;
import org.streamring.model.box.BackendServer;

/** The platform's list of running boxes and of boxes that are shutting down. The list may be outdated. */
public interface BoxList {
    /** Returns the backend servers in the list. */
    List<BackendServer> backendServers() throws PlatformException;
}
