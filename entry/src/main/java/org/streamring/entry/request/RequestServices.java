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
 * What every request needs.
 *
 * @param loops event loops, for timers
 * @param workers worker threads, for decisions
 * @param ledgers leases
 * @param ledgerRunner applies ledger plans
 * @param waiters requests that wait for a lease
 * @param claims commits claims
 * @param links connections to sidecars
 * @param replicas what is known of backend servers
 * @param selector chooses among them
 * @param retries allows retries
 * @param limiter limits per client account
 * @param metrics counters
 * @param leaseWait longest wait for a lease
 * @param failureDomain the entry's failure domain
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
