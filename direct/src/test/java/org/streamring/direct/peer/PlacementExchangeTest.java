package org.streamring.direct.peer;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import org.streamring.kernel.placement.PlacementReport;
import org.streamring.kernel.placement.PromptPart;
import org.streamring.kernel.placement.ReplicaShare;
import org.streamring.kernel.placement.SentPrompt;
import org.testng.annotations.Test;

public class PlacementExchangeTest {
    @Test
    public void aReportIsUnchangedAfterEncodingAndDecoding() {
        PlacementReport report = new PlacementReport(
                Map.of("i-1", new ReplicaShare(4, 12_000, 3.5, 0.25), "i-2", new ReplicaShare(1, 0, 1, 0)),
                List.of(new SentPrompt("i-1", List.of(new PromptPart("a", 2_000), new PromptPart("b", 3_000)))));
        assertThat(PlacementExchange.decode(PlacementExchange.encode(report))).isEqualTo(report);
    }
}
