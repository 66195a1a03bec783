package org.streamring.direct.request;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.streamring.kernel.suspect.SuspectId;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class BrokenAttemptsTest {
    private static final SuspectId FIRST = SuspectId.promptPart("first");
    private static final SuspectId SECOND = SuspectId.promptPart("second");

    private BrokenAttempts attempts;

    @BeforeMethod
    public void setUp() {
        attempts = new BrokenAttempts();
    }

    @Test
    public void onlyThePartsOfAttemptsWithoutAnEventAreCounted() {
        attempts.add(AttemptProgress.NONE, List.of(FIRST));
        attempts.add(new AttemptProgress(true, 0), List.of(FIRST, SECOND));
        attempts.add(new AttemptProgress(true, 3), List.of(SECOND));
        assertThat(attempts.waiting()).isEqualTo(1);
        assertThat(attempts.begun()).isEqualTo(1);
        assertThat(attempts.withEvents()).isEqualTo(1);
        assertThat(attempts.commonParts()).isEqualTo("p:first=2,p:second=1");
    }

    @Test
    public void theNumberOfPartsIsBounded() {
        for (int part = 0; part < 5_000; part++) {
            attempts.add(AttemptProgress.NONE, List.of(SuspectId.promptPart("p" + part), FIRST));
        }
        assertThat(attempts.commonParts()).startsWith("p:first=5000,").hasSizeLessThan(200);
    }
}
