package org.streamring.model.route;

import java.util.List;
import java.util.OptionalInt;
import java.util.OptionalLong;

/**
 * Client account in the routing configuration of a deployment.
 *
 * @param name name of the account
 * @param keys valid API keys
 * @param priority priority rank that overrides the rank of the route; empty if the rank of the route applies
 * @param prepaid total number of tokens that the account may use; empty if it is unlimited
 */
public record PrepaidAccount(String name, List<String> keys, OptionalInt priority, OptionalLong prepaid) {
    /** Creates an account with a copy of the list. */
    public PrepaidAccount {
        keys = List.copyOf(keys);
    }
}
