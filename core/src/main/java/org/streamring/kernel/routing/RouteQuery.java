package org.streamring.kernel.routing;

import java.util.Set;

/**
 * For which request a replica is looked for.
 *
 * @param tried names of replicas that were tried for it
 * @param triedDomains their failure domains, which are avoided if another one is left
 * @param key identifier from the caller; empty if there is none
 * @param rank its priority rank; 0 is the most urgent
 * @param prefix how its prompt begins
 */
public record RouteQuery(Set<String> tried, Set<String> triedDomains, String key, int rank, PromptPrefix prefix) {
    /** A first try of the most urgent rank without an identifier or prompt. */
    public static final RouteQuery FIRST_TRY = new RouteQuery(Set.of(), Set.of(), "", 0, PromptPrefix.NONE);
}
