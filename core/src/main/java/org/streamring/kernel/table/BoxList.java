package org.streamring.kernel.table;

import java.util.List;
import org.streamring.model.box.BackendServer;

/** The platform's list of live and leaving boxes, which lags. */
public interface BoxList {
    /** Returns the backend servers that the platform knows. */
    List<BackendServer> backendServers() throws PlatformException;
}
