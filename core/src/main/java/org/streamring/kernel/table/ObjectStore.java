package org.streamring.kernel.table;

import java.util.List;
import java.util.Optional;

/** The platform's object store. */
public interface ObjectStore {
    /** Writes a complete object and replaces an existing one. */
    void put(String name, byte[] content) throws PlatformException;

    /** Reads an object; empty if it does not exist. */
    Optional<byte[]> get(String name) throws PlatformException;

    /** Lists the names with the given prefix in order. */
    List<String> list(String prefix) throws PlatformException;
}
