package org.streamring.kernel.stream;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Optional;
import java.util.Set;
import org.streamring.kernel.stream.ResumeDecision.Outcome;
import org.testng.annotations.Test;

public class ResumeDecisionTest {
    private static final Optional<StreamOrigin> RECORDED = Optional.of(new StreamOrigin("assist", "v1", "hotel"));
    private static final Optional<StreamOrigin> ONLY = Optional.of(new StreamOrigin("assist", "v2", "hotel"));
    private static final Set<String> SERVICES = Set.of("assist", "other");

    @Test
    public void aRecordedOriginBindsTheContinuation() {
        ResumeDecision decision = ResumeDecision.of(RECORDED, ONLY, "hotel", SERVICES);
        assertThat(decision).isEqualTo(new ResumeDecision(Outcome.RECORDED_ORIGIN, RECORDED));
    }

    @Test
    public void theOnlyPossibleOriginBindsTheContinuationIfNoneWasRecorded() {
        ResumeDecision decision = ResumeDecision.of(Optional.empty(), ONLY, "hotel", SERVICES);
        assertThat(decision).isEqualTo(new ResumeDecision(Outcome.ONLY_ORIGIN, ONLY));
    }

    @Test
    public void aStreamOfUnknownOriginIsRefused() {
        ResumeDecision decision = ResumeDecision.of(Optional.empty(), Optional.empty(), "hotel", SERVICES);
        assertThat(decision).isEqualTo(new ResumeDecision(Outcome.UNKNOWN_ORIGIN, Optional.empty()));
    }

    @Test
    public void aStreamOfAnotherAccountIsRefused() {
        ResumeDecision decision = ResumeDecision.of(RECORDED, ONLY, "motel", SERVICES);
        assertThat(decision).isEqualTo(new ResumeDecision(Outcome.OTHER_ACCOUNT, Optional.empty()));
    }

    @Test
    public void aStreamWhoseServiceIsNoLongerRoutedIsRefused() {
        ResumeDecision decision = ResumeDecision.of(RECORDED, ONLY, "hotel", Set.of("other"));
        assertThat(decision).isEqualTo(new ResumeDecision(Outcome.SERVICE_NOT_ROUTED, Optional.empty()));
    }
}
