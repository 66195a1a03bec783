package org.streamring.standin.model;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;
import org.streamring.kernel.placement.ColdLimit;
import org.streamring.kernel.placement.PlacementReport;
import org.streamring.kernel.registry.BackendInstance;
import org.streamring.model.route.ServiceTraits;

/** Replicas and entries of one day, and what they tell each other. */
final class ModelFleet {
    private static final String ENGINES = "engines";
    private static final String PLAIN = "plain";
    private static final ServiceTraits PLAIN_TRAITS = new ServiceTraits(PLAIN, Integer.MAX_VALUE, 0, 0, 0);
    private static final int DOMAINS = 3;
    /** Time until entries know that a replica is back. */
    private static final double NEWS_MILLIS = 50;
    /** As entries do: more rarely, the more there are. */
    private static final double REPORT_MILLIS_PER_ENTRY = 25;

    private static final double FALLEN_MILLIS = 2_000;

    private final Timeline time;
    private final Scenario scenario;
    private final LoadTally tally;
    private final Map<String, Replica> replicas = new HashMap<>();
    private final List<BackendInstance> engines = new ArrayList<>();
    private final List<BackendInstance> plain = new ArrayList<>();
    private final List<EngineReplica> allEngines = new ArrayList<>();
    private final Map<String, ColdWatch> coldReplicas = new HashMap<>();
    private final List<ModelEntry> entries = new ArrayList<>();
    private final Set<String> names = new TreeSet<>();

    ModelFleet(Timeline time, Scenario scenario, Way way, LoadTally tally, Random random) {
        this.time = time;
        this.scenario = scenario;
        this.tally = tally;
        for (int i = 0; i < scenario.engines().count(); i++) {
            addEngine("engine-" + i, i);
        }
        for (int i = 0; i < scenario.plain().count(); i++) {
            String id = "plain-" + i;
            replicas.put(
                    id,
                    new PlainReplica(
                            time,
                            random,
                            scenario.plain(),
                            turn(scenario.plain().speeds(), i)));
            plain.add(instance(id, PLAIN, i, scenario.plain().slots()));
        }
        for (int i = 0; i < scenario.fleet().entries(); i++) {
            names.add("entry-" + i);
        }
        for (int i = 0; i < scenario.fleet().entries(); i++) {
            entries.add(new ModelEntry(time, this, scenario.fleet(), i, way, tally, new Random(random.nextLong())));
        }
        planReports();
        scenario.faults().forEach(fault -> planFault(fault, random));
    }

    private void addEngine(String id, int number) {
        EngineReplica engine = new EngineReplica(
                time, scenario.engines(), turn(scenario.engines().speeds(), number));
        replicas.put(id, engine);
        allEngines.add(engine);
        engines.add(instance(id, ENGINES, number, scenario.engines().slots()));
    }

    private static BackendInstance instance(String id, String service, int number, int slots) {
        return new BackendInstance(id, service, id, 1, "domain-" + number % DOMAINS, slots, true, 0, 0);
    }

    private static double turn(List<Double> values, int number) {
        return values.get(number % values.size());
    }

    List<ModelEntry> entries() {
        return entries;
    }

    /** Names of all entries. */
    Set<String> names() {
        return names;
    }

    /** Replicas of a service that entries know. */
    List<BackendInstance> known(Scenario.Kind kind) {
        return List.copyOf(kind.engine() ? engines : plain);
    }

    Replica replica(String id) {
        return replicas.get(id);
    }

    ServiceTraits traits(Scenario.Kind kind) {
        return kind.engine() ? engineTraits() : PLAIN_TRAITS;
    }

    private ServiceTraits engineTraits() {
        Scenario.Engines sheet = scenario.engines();
        return new ServiceTraits(
                ENGINES, Integer.MAX_VALUE, sheet.tokensPerEvent(), sheet.memoryTokens(), sheet.coldPerSecond());
    }

    /** What is known of the service of a replica. */
    ServiceTraits traitsOf(String replica) {
        boolean engine = replicas.get(replica) instanceof EngineReplica;
        return engine ? engineTraits() : PLAIN_TRAITS;
    }

    /** Notes the end of a call; only the first one counts. */
    void ended(Call call, Call.Outcome outcome) {
        if (call.endOnce()) {
            tally.ended(call, outcome);
        }
    }

    ColdLimit coldLimit(Scenario.Kind kind) {
        Scenario.Engines sheet = scenario.engines();
        return kind.engine() ? new ColdLimit(sheet.coldPerSecond(), sheet.coldMostInSecond()) : ColdLimit.NONE;
    }

    /** Notes that a request reaches a replica; a cold one may fall over by it. */
    void arrives(String id) {
        ColdWatch watch = coldReplicas.get(id);
        if (watch != null && watch.tooMany(time.now())) {
            tally.coldOverload();
            replica(id).dark(FALLEN_MILLIS);
        }
    }

    /** Tells what engines read. */
    void close() {
        allEngines.forEach(engine -> tally.tokensRead(engine.tokensRead()));
    }

    private void planReports() {
        double interval = REPORT_MILLIS_PER_ENTRY * Math.max(1, entries.size());
        for (ModelEntry entry : entries) {
            time.at(interval * entry.number() / entries.size(), () -> report(entry, interval));
        }
    }

    private void report(ModelEntry from, double interval) {
        PlacementReport report = from.report();
        for (ModelEntry to : entries) {
            if (to != from) {
                to.reported(from.name(), report);
            }
        }
        time.after(interval, () -> report(from, interval));
    }

    private void planFault(Scenario.Fault fault, Random random) {
        time.at(fault.atSeconds() * 1_000, () -> strike(fault, random));
    }

    private void strike(Scenario.Fault fault, Random random) {
        int count = (int) Math.max(1, Math.round(fault.share() * engines.size()));
        List<BackendInstance> struck = new ArrayList<>(engines);
        Collections.shuffle(struck, random);
        for (BackendInstance instance : struck.subList(0, Math.min(count, struck.size()))) {
            strike(fault, instance);
        }
    }

    private void strike(Scenario.Fault fault, BackendInstance instance) {
        double millis = fault.forSeconds() * 1_000;
        Replica replica = replica(instance.id());
        if (fault.kind() == Scenario.FaultKind.SLOW) {
            replica.slow(fault.factor());
            time.after(millis, () -> replica.slow(1));
        } else {
            replica.dark(millis);
        }
        if (fault.kind() == Scenario.FaultKind.COLD) {
            engines.remove(instance);
            time.after(millis + NEWS_MILLIS, () -> comeBackCold(instance.id()));
        }
    }

    private void comeBackCold(String before) {
        String id = before + "+";
        addEngine(id, engines.size());
        double coldMillis = scenario.engines().coldSeconds() * 1_000;
        coldReplicas.put(
                id, new ColdWatch(time.now() + coldMillis, scenario.engines().coldMostInSecond()));
        entries.forEach(entry -> entry.heardCold(id, (long) coldMillis));
    }
}
