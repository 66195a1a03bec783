package org.streamring.kernel.prepaid;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class WitnessRecordsTest {
    private WitnessRecords records;

    @BeforeMethod
    public void setUp() {
        records = new WitnessRecords();
    }

    @Test
    public void theLargestRecordIsReturned() {
        records.add("entry-1.a", Map.of("portal", 5_000L));
        records.add("entry-1.a", Map.of("portal", 3_000L));
        assertThat(records.close("entry-1.a")).containsEntry("portal", 5_000L);
    }

    @Test
    public void recordsAreRefusedAfterTheSuccessorAsked() {
        assertThat(records.close("entry-1.a")).isEmpty();
        assertThat(records.add("entry-1.a", Map.of("portal", 5_000L))).isFalse();
        assertThat(records.close("entry-1.a")).isEmpty();
    }
}
