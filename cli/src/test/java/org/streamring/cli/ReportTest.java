package org.streamring.cli;

import static org.assertj.core.api.Assertions.assertThat;

import org.testng.annotations.Test;

public class ReportTest {
    private final Report report =
            new Report("version", "items").row("1 -> 2", "a".repeat(300)).withMaxCellWidth(60);

    @Test
    public void longCellsAreTruncatedInATable() {
        assertThat(report.text(false).lines())
                .allSatisfy(line -> assertThat(line).hasSizeLessThan(80));
    }

    @Test
    public void longCellsAreNotTruncatedInJson() {
        assertThat(report.text(true)).contains("a".repeat(300));
    }
}
