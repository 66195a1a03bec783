package org.streamring.model.route;

import java.util.List;
import java.util.OptionalInt;
import java.util.OptionalLong;

/**
 * A client account of a routed deployment.
 *
 * @param name name of the account
 * @param keys keys in force
 * @param priority rank that replaces the route's
 * @param prepaid tokens that the account may use in all; empty if it has no such limit
 */
public record PrepaidAccount(String name, List<String> keys, OptionalInt priority, OptionalLong prepaid) {
    /** Copies the list. */
    public PrepaidAccount {
        keys = List.copyOf(keys);
    }
}
