package org.streamring.kernel.limit;

import java.util.HashMap;
import java.util.Map;
import org.streamring.model.declaration.AccountDeclaration;

/**
 * Concurrency and rate limits per client account, on one entry.
 *
 * <p>Safe for use by many threads; its lock is a leaf, held while no other lock is taken.
 */
public final class AccountLimiter {
    private final Map<String, State> accounts = new HashMap<>();

    private static final class State {
        private final TokenBucket bucket;
        private int running;

        private State(TokenBucket bucket) {
            this.bucket = bucket;
        }
    }

    /** Starts a request, unless it is over a limit; every started one must be {@link #ended}. */
    public synchronized boolean tryStart(String account, AccountDeclaration limits, long nowMillis) {
        State state = accounts.computeIfAbsent(
                account, name -> new State(new TokenBucket(limits.requestsPerSecond(), nowMillis)));
        state.bucket.refill(limits.requestsPerSecond(), nowMillis);
        if (state.running >= limits.maxConcurrent() || !state.bucket.take()) {
            return false;
        }
        state.running++;
        return true;
    }

    /** Ends a started request. */
    public synchronized void ended(String account) {
        State state = accounts.get(account);
        if (state != null) {
            state.running--;
        }
    }
}
