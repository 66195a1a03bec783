package org.streamring.standin.experiment;

import com.google.protobuf.ByteString;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicLong;
import org.streamring.kernel.config.ConfigChange;
import org.streamring.kernel.config.ConfigItem;
import org.streamring.kernel.config.ConfigurationHolder;
import org.streamring.kernel.ledger.BillItem;
import org.streamring.kernel.ledger.LeaseLedger;
import org.streamring.kernel.ledger.LedgerSettings;
import org.streamring.kernel.ledger.LedgerStep;
import org.streamring.kernel.ledger.Reservation;
import org.streamring.kernel.ledger.ReserveResult;
import org.streamring.kernel.policy.CandidateInput;
import org.streamring.kernel.policy.CompiledPolicy;
import org.streamring.kernel.policy.PolicyCompiler;
import org.streamring.kernel.policy.PolicyException;
import org.streamring.kernel.policy.PolicyInput;
import org.streamring.kernel.receipt.AttemptOrder;
import org.streamring.kernel.receipt.ReceiptBookSettings;
import org.streamring.kernel.receipt.ReceiptStore;
import org.streamring.kernel.receipt.Usage;
import org.streamring.kernel.routing.Candidate;
import org.streamring.kernel.routing.PrefixIndex;
import org.streamring.kernel.routing.PromptPrefix;
import org.streamring.kernel.routing.ReplicaSelector;
import org.streamring.kernel.routing.ReplicaTable;
import org.streamring.kernel.routing.RouteQuery;
import org.streamring.kernel.routing.RoutingStrategy;
import org.streamring.kernel.table.InMemoryTable;
import org.streamring.kernel.table.RowKeys;
import org.streamring.kernel.table.RowOperation;
import org.streamring.kernel.table.RowText;
import org.streamring.kernel.table.Transaction;
import org.streamring.model.box.BackendServer;
import org.streamring.model.declaration.AccountDeclaration;
import org.streamring.model.declaration.BudgetDeclaration;
import org.streamring.model.declaration.PolicyDeclaration;
import org.streamring.net.generated.Wire.Chunk;
import org.streamring.net.generated.Wire.Frame;
import org.streamring.net.generated.Wire.LeasesSettled;
import org.streamring.net.generated.Wire.Load;
import org.streamring.net.generated.Wire.Ping;
import org.streamring.net.generated.Wire.Pong;

/** Creates the objects and operations whose memory and time are measured. */
final class MeasuredSubjects {
    private static final int LENGTH_PREFIX_BYTES = 4;
    private static final int BUDGETS_PER_STEP = 15;
    private static final int HASHES_PER_PROMPT = 6;
    private static final int PROMPT_BYTES = 4_096;
    private static final int PROMPT_WORDS = 700;

    private MeasuredSubjects() {}

    /**
     * A size in bytes.
     *
     * @param name name of the measured object, printed in the table of results
     * @param bytes size in bytes
     */
    record Size(String name, int bytes) {}

    static Object leases(int count) {
        InMemoryTable table = new InMemoryTable();
        LeaseLedger ledger = new LeaseLedger("entry-1~000000000000", "127.0.0.1:8080", LedgerSettings.patient());
        runStep(ledger, table);
        for (int i = 0; i < count; i++) {
            grant(table, "budget-" + i);
            ledger.reserve("attempt-" + i, "budget-" + i, 100, 0);
            if (i % BUDGETS_PER_STEP == 0) {
                runStep(ledger, table);
            }
        }
        while (ledger.openLeases() < count) {
            runStep(ledger, table);
        }
        return ledger;
    }

    private static void grant(InMemoryTable table, String budget) {
        table.transact(new Transaction("g", List.of(new RowOperation.Insert(RowKeys.remaining(budget), 1L << 40, ""))));
    }

    private static void runStep(LeaseLedger ledger, InMemoryTable table) {
        ledger.plan(0).ifPresent(plan -> {
            LedgerStep step = ledger.resolve(table.transact(plan.transaction()), 0);
            if (!(step instanceof LedgerStep.Done)) {
                throw new IllegalStateException("ledger step not done: " + step);
            }
        });
    }

    static Object configuration(int count) {
        List<ConfigItem> items = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            items.add(new ConfigItem("budgets", "budget-" + i, RowText.write(new BudgetDeclaration(1_000_000))));
            AccountDeclaration account =
                    new AccountDeclaration("budget-" + i, "0".repeat(64), List.of("llm"), "normal", 10, 10);
            items.add(new ConfigItem("accounts", "account-" + i, RowText.write(account)));
        }
        ConfigurationHolder holder = new ConfigurationHolder();
        holder.applyFull(1, items);
        return holder;
    }

    private static AttemptOrder order(int i, boolean repeatable) {
        return new AttemptOrder(
                "entry-1~000000000000#" + i,
                "entry-1~000000000000",
                "account/~00000000-0000-0000-0000-" + i,
                "0".repeat(64),
                "account",
                "budget",
                "entry-1~000000000000/" + i / 100,
                "llm",
                1_000,
                repeatable,
                !repeatable,
                5);
    }

    private static ReceiptStore receiptStore() {
        return new ReceiptStore(new ReceiptBookSettings(
                Integer.MAX_VALUE / 100, Duration.ofMinutes(10), 1L << 40, Duration.ofHours(24), Integer.MAX_VALUE));
    }

    static Object receipts(int count) {
        ReceiptStore receiptStore = receiptStore();
        for (int i = 0; i < count; i++) {
            receiptStore.admit(order(i, true), 0);
            receiptStore.end(order(i, true), Usage.ofModel(100, 200), 0, 0);
        }
        return receiptStore;
    }

    static Object rememberedRequests(int count) {
        ReceiptStore receiptStore = receiptStore();
        List<String> leases = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            AttemptOrder order = order(i, false);
            receiptStore.admit(order, 0);
            receiptStore.end(order, Usage.NONE, 0, 0);
            leases.add(order.leaseId());
        }
        receiptStore.removeSettledReceipts(leases);
        return receiptStore;
    }

    /** Creates an index of prompts without a common prefix, which stores six hashes for each prompt. */
    static Object prefixHashes(int count) {
        PrefixIndex index = new PrefixIndex();
        for (int i = 0; i < count; i += HASHES_PER_PROMPT) {
            index.recordPlacement(PromptPrefix.of(prompt(i)), "server-" + i % 32);
        }
        return index;
    }

    static Runnable prefixHashing() {
        String prompt = prompt(1).repeat(8);
        return () -> PromptPrefix.of(prompt);
    }

    private static String prompt(int number) {
        return (number + " word ").repeat(PROMPT_WORDS).substring(0, PROMPT_BYTES);
    }

    static Runnable choice(int count) {
        ReplicaTable table = new ReplicaTable();
        List<BackendServer> servers = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            servers.add(new BackendServer("s" + i, "llm", "d" + i % 4, "127.0.0.1", 1, false));
        }
        table.updateSubset(servers);
        servers.forEach(server -> table.connected(server.name(), server.name() + "~1"));
        ReplicaSelector selector = new ReplicaSelector(RoutingStrategy.ADAPTIVE, new SplittableRandom(1));
        return () ->
                selector.choose(table.candidates("llm", incarnation -> true, 0), RouteQuery.FIRST_TRY, Candidate::load);
    }

    /** Reserves and releases tokens of one of many budgets, followed by the check for an urgent ledger plan. */
    static Runnable reserveAmongBudgets(int budgets) {
        LeaseLedger ledger = (LeaseLedger) leases(budgets);
        AtomicLong counter = new AtomicLong();
        return () -> {
            String attempt = "again-" + counter.incrementAndGet();
            String budget = "budget-" + counter.get() % budgets;
            if (ledger.reserve(attempt, budget, 100, 0) instanceof ReserveResult.Reserved reserved) {
                ledger.release(reserved.reservation());
            }
            if (ledger.plan(0).isPresent()) {
                ledger.abandonUnsent();
            }
        };
    }

    static Runnable reserveAndFinish() {
        InMemoryTable table = new InMemoryTable();
        LeaseLedger ledger = new LeaseLedger("entry-1~0", "", LedgerSettings.fixed(1L << 39));
        runStep(ledger, table);
        grant(table, "budget");
        ledger.reserve("first", "budget", 1, 0);
        runStep(ledger, table);
        AtomicLong counter = new AtomicLong();
        return () -> {
            String attempt = "attempt-" + counter.incrementAndGet();
            ReserveResult result = ledger.reserve(attempt, "budget", 100, 0);
            Reservation reservation = ((ReserveResult.Reserved) result).reservation();
            ledger.finish(
                    reservation,
                    new BillItem(attempt, "r", "a", "budget", reservation.leaseId(), "llm", "s", 10, 20, 30, 0),
                    0);
        };
    }

    static Runnable admitAndEnd() {
        ReceiptStore receiptStore = receiptStore();
        AtomicLong counter = new AtomicLong();
        return () -> {
            AttemptOrder order = order((int) counter.incrementAndGet(), true);
            receiptStore.admit(order, 0);
            receiptStore.end(order, Usage.ofModel(1, 2), 0, 0);
        };
    }

    static Runnable policy() {
        try {
            CompiledPolicy policy = PolicyCompiler.load()
                    .compile(
                            "p",
                            new PolicyDeclaration(
                                    "priority_class != 'background' || prompt_tokens < 4096",
                                    "rank",
                                    "load + (same_domain ? 0.0 : 0.1)"));
            PolicyInput input = new PolicyInput("account", "llm", "normal", 5, 100, 200, "budget", true);
            CandidateInput candidate = new CandidateInput("s", "d", true, 0.5);
            return () -> evaluate(policy, input, candidate);
        } catch (PolicyException e) {
            throw new IllegalStateException(e);
        }
    }

    private static void evaluate(CompiledPolicy policy, PolicyInput input, CandidateInput candidate) {
        try {
            if (policy.admits(input) && policy.rank(input) + policy.score(input, candidate) < 0) {
                throw new IllegalStateException("rank and score of the policy must not be negative");
            }
        } catch (PolicyException e) {
            throw new IllegalStateException(e);
        }
    }

    private static ConfigChange change(long version) {
        AccountDeclaration account =
                new AccountDeclaration("budget-1", "0".repeat(64), List.of("llm"), "normal", 10, 10);
        ConfigItem item = new ConfigItem("accounts", "account-1", RowText.write(account));
        return new ConfigChange(
                version, "00000000-0000-0000-0000-000000000000", "operator", 0, "apply", List.of(item), List.of());
    }

    /** Applies a change to a configuration of 100 accounts, since a change rebuilds all of them. */
    static Runnable changeApplied() {
        ConfigurationHolder holder = (ConfigurationHolder) configuration(100);
        AtomicLong version = new AtomicLong(1);
        return () -> {
            String text = RowText.write(change(version.incrementAndGet()));
            holder.applyChanges(List.of(RowText.read(text, ConfigChange.class)));
        };
    }

    static List<Size> frameSizes() {
        Load load = Load.newBuilder().setRunning(20).setCapacity(64).build();
        Frame ping = Frame.newBuilder()
                .setPing(Ping.newBuilder()
                        .setSequence(1 << 20)
                        .setConfigVersion(1 << 20)
                        .setOrder("start"))
                .build();
        Frame pong = Frame.newBuilder()
                .setPong(Pong.newBuilder().setSequence(1 << 20).setLoad(load))
                .build();
        Frame chunk = Frame.newBuilder()
                .setChunk(Chunk.newBuilder()
                        .setAttempt("entry-1~000000000000#100000")
                        .setData(ByteString.copyFrom(new byte[150])))
                .build();
        Frame settled = Frame.newBuilder()
                .setLeasesSettled(LeasesSettled.newBuilder().addLeaseIds("entry-1~000000000000/zz"))
                .build();
        return List.of(
                size("bytes per heartbeat and its answer", ping, pong),
                size("bytes per token passed on (150 of text)", chunk),
                size("bytes per settled lease told a sidecar", settled),
                new Size("bytes per change row", RowText.write(change(1)).length()));
    }

    private static Size size(String name, Frame... frames) {
        int bytes = 0;
        for (Frame frame : frames) {
            bytes += frame.getSerializedSize() + LENGTH_PREFIX_BYTES;
        }
        return new Size(name, bytes);
    }
}
