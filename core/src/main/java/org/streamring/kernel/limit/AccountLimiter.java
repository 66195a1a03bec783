package org.streamring.kernel.limit;

import java.util.HashMap;
import java.util.Map;
import org.streamring.model.declaration.AccountDeclaration;

/**
 * Enforces the concurrency and rate limits of client accounts on one entry.
 *
 * <p>Safe for use by many threads; no other lock is acquired while its lock is held.
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

    /** Starts a request unless a limit is exceeded; {@link #ended} must be called for every started request. */
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

    /** Records the end of a started request. */
    public synchronized void ended(String account) {
        State state = accounts.get(account);
        if (state != null) {
            state.running--;
        }
    }
}
