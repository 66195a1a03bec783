package org.streamring.kernel.limit;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.stream.IntStream;
import java.util.stream.LongStream;
import org.testng.annotations.Test;

public class ConflictBackoffTest {
    private static final long TRANSACTION_MILLIS = 5;
    private static final long ROUND_TRIP_MILLIS = 6;

    @Test
    public void fewWritersRetryAtOnce() {
        ConflictBackoff backoff = new ConflictBackoff(new Random(1));
        IntStream.range(0, 20).forEach(i -> assertThat(backoff.conflicted(3)).isEqualTo(5));
    }

    @Test
    public void eachOfManyWritersTriesTwiceInARowAndThenWaits() {
        ConflictBackoff backoff = new ConflictBackoff(new Random(1));
        long[] delays =
                IntStream.range(0, 100).mapToLong(i -> backoff.conflicted(30)).toArray();
        assertThat(delays[0]).isEqualTo(5);
        assertThat(delays[98]).isEqualTo(5);
        assertThat(LongStream.of(delays).max().orElseThrow()).isBetween(200L, 365L);

        backoff.committed();
        assertThat(backoff.conflicted(30)).isEqualTo(5);
    }

    @Test
    public void backingOffHalvesTheTransactionsOfThirtyConcurrentWriters() {
        assertThat(transactionsUntilAllCommitted(30, true))
                .isLessThan(transactionsUntilAllCommitted(30, false) * 11 / 20);
    }

    /**
     * Simulates a partition that executes one transaction at a time; a transaction that read an outdated version fails.
     */
    private static long transactionsUntilAllCommitted(int writers, boolean backingOff) {
        Random random = new Random(7);
        List<ConflictBackoff> backoffs = new ArrayList<>();
        PriorityQueue<long[]> arrivals = new PriorityQueue<>(Comparator.comparingLong(each -> each[0]));
        for (int writer = 0; writer < writers; writer++) {
            backoffs.add(new ConflictBackoff(new Random(random.nextLong())));
            arrivals.add(new long[] {writer % 3, writer, 0});
        }
        long transactions = 0;
        long freeAtMillis = 0;
        long version = 0;
        int remaining = writers;
        while (remaining > 0) {
            long[] next = arrivals.poll();
            int writer = (int) next[1];
            transactions++;
            freeAtMillis = Math.max(freeAtMillis, next[0]) + TRANSACTION_MILLIS;
            if (next[2] == version) {
                version++;
                remaining--;
            } else {
                long delay = ROUND_TRIP_MILLIS + backoffs.get(writer).conflicted(backingOff ? writers : 1);
                arrivals.add(new long[] {freeAtMillis + delay, writer, version});
            }
        }
        return transactions;
    }
}
