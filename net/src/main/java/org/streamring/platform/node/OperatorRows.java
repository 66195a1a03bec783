package org.streamring.platform.node;

import java.util.Optional;
import org.streamring.kernel.registry.BackendInstance;
import org.streamring.kernel.store.StoredRow;
import org.streamring.model.route.RoutingConfiguration;

/** Parses the rows that the operator and the backend servers write to the store. */
public interface OperatorRows {
    /** Returns the name of the table with the configuration and the evacuations. */
    String configurationTable();

    /** Returns the name of the table with the backend servers, keyed by identifier. */
    String backendTable();

    /**
     * Parses the configuration.
     *
     * @return empty if the row is not a configuration
     * @throws MalformedRowException if the row cannot be parsed
     */
    Optional<RoutingConfiguration> configuration(StoredRow row) throws MalformedRowException;

    /**
     * Parses an evacuation. While its row exists, no new requests are sent to the backend servers of a failure domain.
     *
     * @return the failure domain; empty if the row is not an evacuation
     */
    Optional<String> evacuated(StoredRow row);

    /**
     * Parses the entry of a backend server.
     *
     * @throws MalformedRowException if the row cannot be parsed
     */
    BackendInstance backend(StoredRow row) throws MalformedRowException;
}
