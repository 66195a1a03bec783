package org.streamring.platform.node;

import java.util.Optional;
import org.streamring.kernel.registry.BackendInstance;
import org.streamring.kernel.store.StoredRow;
import org.streamring.model.route.RoutingConfiguration;

/** Reads what the operator and the backend servers write to the store. */
public interface OperatorRows {
    /** Table that holds the configuration and the evacuations. */
    String configurationTable();

    /** Table that holds the backend servers, by their identifier. */
    String backendTable();

    /**
     * Reads the configuration.
     *
     * @return empty if the row holds something else
     * @throws MalformedRowException if the row can't be understood
     */
    Optional<RoutingConfiguration> configuration(StoredRow row) throws MalformedRowException;

    /**
     * Reads an evacuation: while its row is there, nothing new goes to the backend servers of a failure domain.
     *
     * @return the failure domain; empty if the row holds something else
     */
    Optional<String> evacuated(StoredRow row);

    /**
     * Reads a backend server's entry.
     *
     * @throws MalformedRowException if the row can't be understood
     */
    BackendInstance backend(StoredRow row) throws MalformedRowException;
}
