package org.streamring.direct.backend;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.nio.NioEventLoopGroup;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.streamring.direct.TestHeaders;
import org.streamring.standin.http.AnswerContent;
import org.streamring.standin.http.AnswerDamage;
import org.streamring.standin.http.AnswerDamager;
import org.streamring.standin.http.AnswerEnd;
import org.streamring.standin.http.AnswerStep;
import org.streamring.standin.http.DamagedAnswer;
import org.streamring.standin.http.Evidence;
import org.streamring.standin.http.WholeAnswer;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Guards against answers that a server has not written as a whole, by thousands of damaged answers over real
 * connections. A failure names the seed of each; {@code -Danswers.seed} plays it alone.
 */
public class DamagedAnswersTest {
    private static final int CALLERS = 96;
    private static final int SCRIPTS = 1_500;
    /** How long a script is waited for that leaves its answer without an end. */
    private static final long PATIENCE_MILLIS = 500;

    private static final long WHOLE_ANSWER_MILLIS = 20_000;
    private static final int WHOLE_ANSWERS = 60;
    private static final List<Integer> STATUSES = List.of(200, 200, 206, 404, 500, 503);

    private final List<String> violations = Collections.synchronizedList(new ArrayList<>());
    private final Map<Evidence, AtomicInteger> judged = new EnumMap<>(Evidence.class);
    private final AtomicInteger unjudged = new AtomicInteger();
    private ExecutorService threads;
    private NioEventLoopGroup loops;

    @BeforeMethod
    public void setUp() {
        threads = Executors.newCachedThreadPool();
        loops = new NioEventLoopGroup(4);
        violations.clear();
        judged.clear();
        for (Evidence each : Evidence.values()) {
            judged.put(each, new AtomicInteger());
        }
        unjudged.set(0);
    }

    @AfterMethod(alwaysRun = true)
    public void tearDown() {
        threads.shutdownNow();
        loops.shutdownGracefully(0, 0, TimeUnit.SECONDS);
    }

    @DataProvider
    public Object[][] damages() {
        return new Object[][] {
            {AnswerDamage.BREAKS_OFF, 0L},
            {AnswerDamage.SECOND_AFTER_PART, 100_000L},
            {AnswerDamage.SECOND_AFTER_WHOLE, 200_000L}
        };
    }

    /** What only an event or nothing shows is not judged here, as a pool does not know events. */
    @Test(dataProvider = "damages")
    public void noAnswerIsTakenForWholeIfHttpShowsThatItIsNot(AnswerDamage damage, long firstSeed) throws Exception {
        play(damage, firstSeed, Evidence.HTTP);
        assertThat(violations).as("%s judged, %s not", judged, unjudged).isEmpty();
    }

    @DataProvider
    public Object[][] seconds() {
        return new Object[][] {{AnswerDamage.SECOND_AFTER_PART, 300_000L}, {AnswerDamage.SECOND_AFTER_WHOLE, 400_000L}};
    }

    @Test(dataProvider = "seconds")
    public void noBodyContainsASecondAnswer(AnswerDamage damage, long firstSeed) throws Exception {
        play(damage, firstSeed, Evidence.BODY);
        assertThat(violations).as("%s judged, %s not", judged, unjudged).isEmpty();
    }

    @Test
    public void noTrailerContainsASecondAnswer() throws Exception {
        play(AnswerDamage.SECOND_AFTER_PART, 600_000L, Evidence.TRAILER);
        assertThat(violations).as("%s judged, %s not", judged, unjudged).isEmpty();
    }

    @Test
    public void noAnswerIsTakenForWholeIfItEndsWithTheProcessOfItsServer() throws Exception {
        play(AnswerDamage.BREAKS_OFF, 500_000L, Evidence.PROCESS);
        assertThat(violations).as("%s judged, %s not", judged, unjudged).isEmpty();
    }

    @Test
    public void aWholeAnswerArrivesUnharmedWhereverItIsSplit() throws Exception {
        inParallel(WHOLE_ANSWERS, (caller, seed) -> {
            Random random = new Random(seed);
            WholeAnswer whole = damager(seed).compose(content("r-" + seed, "first", random));
            for (int cut = 0; cut <= whole.text().length(); cut++) {
                DamagedAnswer script = AnswerDamager.split(whole, cut, 1);
                Optional<AnswerContent> received = caller.call("r-" + seed, script, WHOLE_ANSWER_MILLIS);
                if (!received.equals(Optional.of(whole.content()))) {
                    violations.add("seed " + seed + " " + script.description() + ", received " + received + " of\n"
                            + whole.text());
                }
            }
        });
        assertThat(violations).isEmpty();
    }

    @Test
    public void aWholeAnswerThatNamesAProxyByItsAddressIsNotTakenForTwo() throws Exception {
        inParallel(1, (caller, seed) -> {
            WholeAnswer whole = damager(seed).compose(content("r-1", "first", new Random(seed)));
            String via = "Via: HTTP/1.1 127.0.0.1:8080\r\n";
            String text = new StringBuilder(whole.text())
                    .insert(whole.text().indexOf("\r\n", whole.headStart()) + 2, via)
                    .toString();
            DamagedAnswer script = new DamagedAnswer(
                    List.of(new AnswerStep.Write(text), new AnswerStep.End(AnswerEnd.CLOSE)),
                    List.of(whole.content()),
                    Evidence.HTTP,
                    "");
            assertThat(caller.call("r-1", script, WHOLE_ANSWER_MILLIS)).contains(whole.content());
        });
    }

    private void play(AnswerDamage damage, long firstSeed, Evidence evidence) throws Exception {
        long chosen = Long.getLong("answers.seed", -1);
        if (chosen >= 0) {
            inParallel(1, (caller, index) -> playSeed(caller, damage, chosen, evidence));
            return;
        }
        inParallel(SCRIPTS, (caller, index) -> playSeed(caller, damage, firstSeed + index, evidence));
    }

    /** Plays a script if the given evidence shows that it is damaged, and a sound answer behind it. */
    private void playSeed(DamagedAnswerCaller caller, AnswerDamage damage, long seed, Evidence evidence)
            throws IOException, InterruptedException {
        Random random = new Random(~seed);
        String id = "r-" + seed;
        AnswerDamager damager = damager(seed);
        DamagedAnswer script = damager.damage(damage, content(id, "first", random), content(id, "second", random));
        if (script.evidence() != evidence) {
            unjudged.incrementAndGet();
            return;
        }
        judge(seed, script, caller.call(id, script, PATIENCE_MILLIS));
        if (script.end() == AnswerEnd.NEXT_REQUEST) {
            AnswerContent sound = content(id + "-next", "next", random);
            DamagedAnswer next = AnswerDamager.split(damager.compose(sound), 0, 0);
            judge(seed, next, caller.call(id + "-next", next, PATIENCE_MILLIS));
        }
    }

    private void judge(long seed, DamagedAnswer script, Optional<AnswerContent> received) {
        judged.get(script.evidence()).incrementAndGet();
        received.filter(answer -> !script.written().contains(answer))
                .ifPresent(answer -> violations.add("seed " + seed + " " + script.description() + "\n  received "
                        + answer + "\n  of " + script.steps()));
    }

    private static AnswerDamager damager(long seed) {
        return new AnswerDamager(TestHeaders.NAMES.requestId(), TestHeaders.NAMES.signature(), seed);
    }

    private static AnswerContent content(String id, String signature, Random random) {
        int status = STATUSES.get(random.nextInt(STATUSES.size()));
        boolean events = random.nextBoolean();
        StringBuilder body = new StringBuilder();
        int parts = 1 + random.nextInt(5);
        for (int part = 1; part <= parts; part++) {
            body.append(events ? "id: " + part + "\ndata: " + signature + "\n\n" : signature + " of " + id + "\n");
        }
        return new AnswerContent(status, Optional.of(id), "sealed-" + signature, body.toString(), events);
    }

    private interface Play {
        void run(DamagedAnswerCaller caller, long index) throws IOException, InterruptedException;
    }

    private void inParallel(int count, Play play) throws Exception {
        AtomicInteger next = new AtomicInteger();
        List<Future<?>> callers = new ArrayList<>();
        for (int i = 0; i < Math.min(CALLERS, count); i++) {
            callers.add(threads.submit(() -> {
                try (DamagedAnswerCaller caller = new DamagedAnswerCaller(loops.next(), threads)) {
                    for (int index = next.getAndIncrement(); index < count; index = next.getAndIncrement()) {
                        play.run(caller, index);
                    }
                }
                return Optional.empty();
            }));
        }
        for (Future<?> each : callers) {
            each.get(2, TimeUnit.MINUTES);
        }
    }
}
