package org.streamring.standin.experiment;

import com.github.rvesse.airline.annotations.Command;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.function.IntFunction;
import org.streamring.kernel.ledger.LedgerSettings;

/** Measures the memory and time per lease, receipt, candidate and so on at several sizes, and the slopes of memory. */
@Command(
        name = "slopes",
        description = "Measure bytes and time per lease, receipt, candidate and so on; for the capacity page")
public final class SlopesCommand implements Runnable {
    private static final String FORMAT = "%-38s %10s %14s %14s%n";
    private static final int[] SIZES = {1_000, 4_000, 12_000};
    private static final int[] CANDIDATES = {8, 32, 128};
    private static final long ROUND_NANOS = 100_000_000;

    @Override
    public void run() {
        System.out.printf(FORMAT, "what", "size", "measured", "per unit");
        measureBytes("bytes per lease held by an entry", MeasuredSubjects::leases);
        measureBytes("bytes per budget and account known", MeasuredSubjects::configuration);
        measureBytes("bytes per receipt at a sidecar", MeasuredSubjects::receipts);
        measureBytes("bytes per remembered request", MeasuredSubjects::rememberedRequests);
        measureBytes("bytes per mark of a prompt's beginning", MeasuredSubjects::prefixHashes);
        for (int size : CANDIDATES) {
            measureNanos("ns per choice among candidates", size, MeasuredSubjects.choice(size));
        }
        for (int size : SIZES) {
            measureNanos("ns per request, budgets held", size, MeasuredSubjects.reserveAmongBudgets(size));
        }
        measureNanos("ns per reserve and finish", 1, MeasuredSubjects.reserveAndFinish());
        measureNanos("ns per admit and end of an attempt", 1, MeasuredSubjects.admitAndEnd());
        measureNanos("ns per policy evaluation (3 parts)", 1, MeasuredSubjects.policy());
        measureNanos("ns per 32 KB prompt marked", 1, MeasuredSubjects.prefixHashing());
        measureNanos("ns per change row read and applied", 1, MeasuredSubjects.changeApplied());
        MeasuredSubjects.frameSizes()
                .forEach(size -> System.out.printf(FORMAT, size.name(), 1, size.bytes(), size.bytes()));
        measureWrites();
    }

    /** Measures retained bytes: the growth of the used heap after garbage collection while the object is referenced. */
    private static void measureBytes(String what, IntFunction<Object> subject) {
        List<Double> measured = new ArrayList<>();
        for (int size : SIZES) {
            long before = usedHeap();
            Object retained = subject.apply(size);
            long after = usedHeap();
            measured.add((double) (after - before));
            System.out.printf(
                    Locale.ROOT,
                    FORMAT,
                    what,
                    size,
                    after - before,
                    "%.0f".formatted((after - before) / (double) size));
            if (retained.hashCode() == Integer.MIN_VALUE) {
                System.out.println(retained);
            }
        }
        double slope = (measured.get(2) - measured.get(0)) / (SIZES[2] - SIZES[0]);
        double interpolated = measured.get(0) + slope * (SIZES[1] - SIZES[0]);
        System.out.printf(
                Locale.ROOT,
                FORMAT,
                "  slope; middle off the line by",
                "",
                "%.0f %%".formatted(100 * (measured.get(1) - interpolated) / interpolated),
                "%.0f".formatted(slope));
    }

    private static long usedHeap() {
        Runtime runtime = Runtime.getRuntime();
        long used = Long.MAX_VALUE;
        for (int i = 0; i < 5; i++) {
            System.gc();
            used = Math.min(used, runtime.totalMemory() - runtime.freeMemory());
        }
        return used;
    }

    /** Measures the duration of an operation: the median of nine rounds of 0.1 s, after a warm-up round. */
    private static void measureNanos(String what, int size, Runnable operation) {
        List<Double> rounds = new ArrayList<>();
        for (int round = 0; round < 10; round++) {
            long start = System.nanoTime();
            long count = 0;
            while (System.nanoTime() - start < ROUND_NANOS) {
                operation.run();
                count++;
            }
            rounds.add((System.nanoTime() - start) / (double) count);
        }
        rounds.remove(0);
        rounds.sort(Double::compare);
        double median = rounds.get(rounds.size() / 2);
        System.out.printf(Locale.ROOT, FORMAT, what, size, "%.0f".formatted(median), "%.1f".formatted(median / size));
    }

    private static void measureWrites() {
        for (int entries : new int[] {2, 6, 12}) {
            measureWrites("writes/s, entries", entries, 4, entries);
        }
        for (int rate : new int[] {1, 4, 16}) {
            measureWrites("writes/s, requests/s", rate, rate, 6);
        }
    }

    private static void measureWrites(String what, int size, double rate, int entries) {
        Scenario scenario =
                new Scenario(what, 600, entries, 200_000_000, rate, 1.6, 1_200, 700, List.of(), List.of(), 0, -1);
        ExperimentResult result = new LedgerExperiment(scenario, "patient", LedgerSettings.patient(), 1).run();
        double perSecond = result.transactions() / 600.0;
        System.out.printf(
                Locale.ROOT, FORMAT, what, size, "%.3f".formatted(perSecond), "%.4f".formatted(perSecond / size));
    }
}
