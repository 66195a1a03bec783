package org.streamring.kernel.placement;

import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;
import org.streamring.kernel.registry.BackendInstance;
import org.streamring.model.route.ServiceTraits;

/**
 * Benchmark of the placement of a request in a fleet of 30 entries and 38 replicas. Run it manually with the JVM
 * options of an entry: {@code java -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -Xmx40m}.
 */
public final class PlacementTimes {
    private static final ServiceTraits ENGINE = new ServiceTraits("assist", 500, 8, 461_116, 0);
    private static final int REPLICAS = 38;
    private static final int ENTRIES = 30;
    private static final int PROMPTS_OF_AN_ENTRY = 12;
    private static final int ROUNDS = 8;
    private static final int REQUESTS = 2_000;

    private PlacementTimes() {}

    /** Prints the microseconds per request of each round. */
    public static void main(String[] args) {
        List<BackendInstance> replicas = IntStream.range(0, REPLICAS)
                .mapToObj(number -> new BackendInstance(
                        "i-" + number, "assist", "10.0.0." + number, 8_080, "hall-" + number % 3, 64, true, 0, 0, "v1"))
                .toList();
        PlacementTable table = new PlacementTable(new Random(1));
        for (int entry = 1; entry < ENTRIES; entry++) {
            Random random = new Random(entry);
            PlacementTable other = new PlacementTable(random);
            for (int prompt = 0; prompt < PROMPTS_OF_AN_ENTRY; prompt++) {
                other.started(query(random), ENGINE, replicas.get(random.nextInt(REPLICAS)), 0);
            }
            table.applyReport("entry-" + entry, other.report(0), id -> ENGINE.memoryTokens(), 0);
        }
        Random random = new Random(0);
        for (int round = 0; round < ROUNDS; round++) {
            long began = System.nanoTime();
            for (int request = 0; request < REQUESTS; request++) {
                PlacementQuery query = query(random);
                BackendInstance chosen =
                        table.choose(query, ENGINE, replicas, ENTRIES, 10).orElseThrow();
                table.started(query, ENGINE, chosen, 10).ended();
            }
            System.out.println((System.nanoTime() - began) / 1_000 / REQUESTS + " us per request");
        }
    }

    private static PlacementQuery query(Random random) {
        int subject = random.nextInt(600);
        List<PromptPart> parts = List.of(
                new PromptPart("base-" + subject % 16, 119),
                new PromptPart("subject-" + subject, 79),
                new PromptPart("own-" + random.nextInt(), 600));
        return new PlacementQuery(new Prompt(parts, 798, 288, 288), 1, 1_000, 600, "hall-1", Set.of());
    }
}
