package org.streamring.kernel.routing;

import java.util.Set;

/**
 * For which request a replica is looked for.
 *
 * @param tried names of replicas that were tried for it
 * @param triedDomains their failure domains, which are avoided if another one is left
 * @param key identifier from the caller; empty if there is none
 */
public record RouteQuery(Set<String> tried, Set<String> triedDomains, String key) {
    /** A first try without an identifier. */
    public static final RouteQuery FIRST_TRY = new RouteQuery(Set.of(), Set.of(), "");
}
