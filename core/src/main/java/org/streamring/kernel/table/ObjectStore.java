package org.streamring.kernel.table;

import java.util.List;
import java.util.Optional;

/** The platform's object store. */
public interface ObjectStore {
    /** Writes an object whole; a repeated write replaces it. */
    void put(String name, byte[] content) throws PlatformException;

    /** Reads an object. */
    Optional<byte[]> get(String name) throws PlatformException;

    /** Lists, in order, the names with this prefix. */
    List<String> list(String prefix) throws PlatformException;
}
