package org.streamring.kernel.placement;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.util.HashMap;
import java.util.Map;
import java.util.Random;
import org.testng.annotations.Test;

public class PeerLoadTest {
    private static final double TOKENS_PER_MILLI = 50;

    @Test
    public void totalsAreTheSumsOfTheLatestReportOfEachEntry() {
        Random random = new Random(1);
        PeerLoad load = new PeerLoad();
        Map<String, ReplicaShare> last = new HashMap<>();
        for (int step = 0; step < 2_000; step++) {
            String entry = "entry-" + random.nextInt(29);
            if (random.nextInt(4) == 0) {
                load.forget(entry);
                last.remove(entry);
            } else {
                ReplicaShare share = new ReplicaShare(
                        random.nextInt(5), random.nextInt(2) * 1_000L, random.nextDouble(), random.nextDouble());
                load.setShare(entry, share, 0);
                last.put(entry, share);
            }
            assertThat(load.running())
                    .isEqualTo(last.values().stream()
                            .mapToInt(ReplicaShare::running)
                            .sum());
            assertThat(load.weightOfStreams())
                    .isCloseTo(
                            last.values().stream()
                                    .mapToDouble(ReplicaShare::weightOfStreams)
                                    .sum(),
                            within(1e-9));
            assertThat(load.recentPauses())
                    .isCloseTo(
                            last.values().stream()
                                    .mapToDouble(ReplicaShare::recentPauses)
                                    .sum(),
                            within(1e-9));
            assertThat(load.unreadTokens(10, TOKENS_PER_MILLI))
                    .isEqualTo(last.values().stream()
                            .mapToDouble(each -> Math.max(0, each.pendingPromptTokens() - 10 * TOKENS_PER_MILLI))
                            .sum());
        }
    }

    @Test
    public void unreadTokensDecreaseBetweenReports() {
        PeerLoad load = new PeerLoad();
        load.setShare("entry-1", new ReplicaShare(1, 1_000, 0, 0), 0);
        assertThat(load.unreadTokens(5, TOKENS_PER_MILLI)).isEqualTo(750);
        assertThat(load.unreadTokens(100, TOKENS_PER_MILLI)).isZero();
    }
}
