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

/** The replicas and entries of a simulation run, the reports between entries, and the faults of replicas. */
final class ModelFleet {
    private static final String ENGINES = "engines";
    private static final String PLAIN = "plain";
    private static final ServiceTraits PLAIN_TRAITS = new ServiceTraits(PLAIN, Integer.MAX_VALUE, 0, 0, 0);
    private static final int FAILURE_DOMAINS = 3;
    /** Delay until the entries are informed that a replica has restarted. */
    private static final double RESTART_NOTICE_MILLIS = 50;
    /** Report interval per entry of the fleet; as in real entries, the interval grows with their number. */
    private static final double REPORT_MILLIS_PER_ENTRY = 25;

    private static final double OVERLOAD_OUTAGE_MILLIS = 2_000;

    private final SimulatedClock time;
    private final Scenario scenario;
    private final LoadStatistics statistics;
    private final Map<String, Replica> replicas = new HashMap<>();
    private final List<BackendInstance> engines = new ArrayList<>();
    private final List<BackendInstance> plain = new ArrayList<>();
    private final List<EngineReplica> allEngines = new ArrayList<>();
    private final Map<String, ColdOverloadDetector> coldDetectors = new HashMap<>();
    private final List<ModelEntry> entries = new ArrayList<>();
    private final Set<String> names = new TreeSet<>();

    ModelFleet(
            SimulatedClock time, Scenario scenario, WaitPolicyChoice choice, LoadStatistics statistics, Random random) {
        this.time = time;
        this.scenario = scenario;
        this.statistics = statistics;
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
                            cyclic(scenario.plain().speeds(), i)));
            plain.add(instance(id, PLAIN, i, scenario.plain().slots()));
        }
        for (int i = 0; i < scenario.fleet().entries(); i++) {
            names.add("entry-" + i);
        }
        for (int i = 0; i < scenario.fleet().entries(); i++) {
            entries.add(
                    new ModelEntry(time, this, scenario.fleet(), i, choice, statistics, new Random(random.nextLong())));
        }
        scheduleReports();
        scenario.faults().forEach(fault -> scheduleFault(fault, random));
    }

    private void addEngine(String id, int number) {
        EngineReplica engine = new EngineReplica(
                time, scenario.engines(), cyclic(scenario.engines().speeds(), number));
        replicas.put(id, engine);
        allEngines.add(engine);
        engines.add(instance(id, ENGINES, number, scenario.engines().slots()));
    }

    private static BackendInstance instance(String id, String service, int number, int slots) {
        return new BackendInstance(id, service, id, 1, "domain-" + number % FAILURE_DOMAINS, slots, true, 0, 0, "v1");
    }

    private static double cyclic(List<Double> values, int number) {
        return values.get(number % values.size());
    }

    List<ModelEntry> entries() {
        return entries;
    }

    /** Returns the names of all entries. */
    Set<String> names() {
        return names;
    }

    /** Returns the replicas, as listed at the entries, of the service for a kind of request. */
    List<BackendInstance> listedReplicas(Scenario.Kind kind) {
        return List.copyOf(kind.engine() ? engines : plain);
    }

    Replica replica(String id) {
        return replicas.get(id);
    }

    ServiceTraits traits(Scenario.Kind kind) {
        return kind.engine() ? engineTraits() : PLAIN_TRAITS;
    }

    private ServiceTraits engineTraits() {
        Scenario.Engines settings = scenario.engines();
        return new ServiceTraits(
                ENGINES,
                Integer.MAX_VALUE,
                settings.tokensPerEvent(),
                settings.memoryTokens(),
                settings.coldPerSecond());
    }

    /** Returns the traits of the service of a replica. */
    ServiceTraits traitsOf(String replica) {
        boolean engine = replicas.get(replica) instanceof EngineReplica;
        return engine ? engineTraits() : PLAIN_TRAITS;
    }

    /** Records the outcome of a call; later outcomes of the same call are ignored. */
    void callEnded(Call call, Call.Outcome outcome) {
        if (call.markEnded()) {
            statistics.recordOutcome(call, outcome);
        }
    }

    ColdLimit coldLimit(Scenario.Kind kind) {
        Scenario.Engines settings = scenario.engines();
        return kind.engine() ? new ColdLimit(settings.coldPerSecond(), settings.coldMostInSecond()) : ColdLimit.NONE;
    }

    /** Records the arrival of a request at a replica; a cold replica that is overloaded by it becomes unreachable. */
    void requestArrived(String id) {
        ColdOverloadDetector detector = coldDetectors.get(id);
        if (detector != null && detector.recordArrival(time.now())) {
            statistics.recordColdOverload();
            replica(id).interrupt(OVERLOAD_OUTAGE_MILLIS);
        }
    }

    /** Adds the prompt tokens read by the engines to the statistics. */
    void recordTokensRead() {
        allEngines.forEach(engine -> statistics.addTokensRead(engine.tokensRead()));
    }

    private void scheduleReports() {
        double interval = REPORT_MILLIS_PER_ENTRY * Math.max(1, entries.size());
        for (ModelEntry entry : entries) {
            time.at(interval * entry.number() / entries.size(), () -> sendReport(entry, interval));
        }
    }

    private void sendReport(ModelEntry from, double interval) {
        PlacementReport report = from.report();
        for (ModelEntry to : entries) {
            if (to != from) {
                to.receiveReport(from.name(), report);
            }
        }
        time.after(interval, () -> sendReport(from, interval));
    }

    private void scheduleFault(Scenario.Fault fault, Random random) {
        time.at(fault.atSeconds() * 1_000, () -> applyFault(fault, random));
    }

    private void applyFault(Scenario.Fault fault, Random random) {
        int count = (int) Math.max(1, Math.round(fault.share() * engines.size()));
        List<BackendInstance> affected = new ArrayList<>(engines);
        Collections.shuffle(affected, random);
        for (BackendInstance instance : affected.subList(0, Math.min(count, affected.size()))) {
            applyFault(fault, instance);
        }
    }

    private void applyFault(Scenario.Fault fault, BackendInstance instance) {
        double millis = fault.forSeconds() * 1_000;
        Replica replica = replica(instance.id());
        if (fault.kind() == Scenario.FaultKind.SLOW) {
            replica.setSlowdown(fault.factor());
            time.after(millis, () -> replica.setSlowdown(1));
        } else {
            replica.interrupt(millis);
        }
        if (fault.kind() == Scenario.FaultKind.COLD) {
            engines.remove(instance);
            time.after(millis + RESTART_NOTICE_MILLIS, () -> restartCold(instance.id()));
        }
    }

    private void restartCold(String before) {
        String id = before + "+";
        addEngine(id, engines.size());
        double coldMillis = scenario.engines().coldSeconds() * 1_000;
        coldDetectors.put(
                id,
                new ColdOverloadDetector(
                        time.now() + coldMillis, scenario.engines().coldMostInSecond()));
        entries.forEach(entry -> entry.coldReplicaAdded(id, (long) coldMillis));
    }
}
