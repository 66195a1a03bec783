package org.streamring.kernel.recovery;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import org.streamring.kernel.table.Row;
import org.testng.annotations.Test;

public class EntryFailureDetectorTest {
    private final EntryFailureDetector detector = new EntryFailureDetector(Duration.ofSeconds(30));

    private static Row row(String incarnation, long version) {
        return new Row("entry/" + incarnation, version, 1, "");
    }

    @Test
    public void anEntryWhoseRowDoesNotChangeIsSuspected() {
        Row unchanged = row("a~1", 5);
        for (int second = 0; second < 30; second += 5) {
            assertThat(detector.observe(List.of(unchanged, row("b~1", second)), -1, second * 1000L))
                    .isEmpty();
        }
        assertThat(detector.observe(List.of(unchanged, row("b~1", 99)), -1, 30_000))
                .containsExactly(unchanged);
    }

    @Test
    public void theTimeWithoutAChangeStartsAnewAfterATableOutage() {
        EntryFailureDetector afterOutage = new EntryFailureDetector(Duration.ofSeconds(30));
        Row unchanged = row("a~1", 5);
        afterOutage.observe(List.of(unchanged), -1, 1_000);
        assertThat(afterOutage.observe(List.of(unchanged), 599_000, 600_000)).isEmpty();
        assertThat(afterOutage.observe(List.of(unchanged), 599_000, 629_000)).isEmpty();
        assertThat(afterOutage.observe(List.of(unchanged), 599_000, 630_000)).containsExactly(unchanged);
    }
}
