package org.streamring.entry.request;

import io.micrometer.core.instrument.MeterRegistry;
import io.netty.channel.EventLoopGroup;
import java.time.Duration;
import java.util.concurrent.Executor;
import org.streamring.entry.ledger.LeaseWaiters;
import org.streamring.entry.ledger.LedgerHolder;
import org.streamring.entry.ledger.LedgerRunner;
import org.streamring.entry.once.ClaimCommitter;
import org.streamring.entry.peer.SidecarLinks;
import org.streamring.kernel.limit.AccountLimiter;
import org.streamring.kernel.limit.RetryBudget;
import org.streamring.kernel.routing.ReplicaSelector;
import org.streamring.kernel.routing.ReplicaTable;

/**
 * Shared components that every request uses.
 *
 * @param loops event loops, for timers
 * @param workers worker threads that admit and route requests
 * @param ledgers holder of the current lease ledger
 * @param ledgerRunner applies ledger plans to the table
 * @param waiters requests that wait for a lease
 * @param claims commits claims
 * @param links connections to sidecars
 * @param replicas state of the backend servers
 * @param selector chooses among backend servers
 * @param retries limits the rate of retries
 * @param limiter limits per client account
 * @param metrics registry for the counters
 * @param leaseWait longest wait for a lease
 * @param failureDomain failure domain of this entry
 */
public record RequestServices(
        EventLoopGroup loops,
        Executor workers,
        LedgerHolder ledgers,
        LedgerRunner ledgerRunner,
        LeaseWaiters waiters,
        ClaimCommitter claims,
        SidecarLinks links,
        ReplicaTable replicas,
        ReplicaSelector selector,
        RetryBudget retries,
        AccountLimiter limiter,
        MeterRegistry metrics,
        Duration leaseWait,
        String failureDomain) {}
