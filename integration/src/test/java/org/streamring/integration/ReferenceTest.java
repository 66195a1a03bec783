package org.streamring.integration;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.streamring.entry.EntrySettings;
import org.streamring.fleet.Fleet;
import org.streamring.sidecar.SidecarSettings;
import org.testng.annotations.Test;

public class ReferenceTest extends FleetTestBase {
    private static final Pattern METRIC = Pattern.compile("^# TYPE (streamring_\\w+) ", Pattern.MULTILINE);

    private static String reference() throws IOException {
        return Files.readString(Fleet.root().resolve("docs/reference.md"));
    }

    @Test
    public void everySettingIsInTheReference() throws IOException {
        assertThat(reference()).contains(EntrySettings.SCHEMA.describe(), SidecarSettings.SCHEMA.describe());
    }

    @Test
    public void everyMetricIsInTheReference() throws Exception {
        fleet = Fleet.small().start(1);
        Set<String> metrics = new TreeSet<>();
        metrics.addAll(metricsOf(fleet.entries.get("entry-1").adminPort()));
        metrics.addAll(metricsOf(fleet.sidecars.get("assist-1").adminPort()));
        assertThat(metrics).isNotEmpty().allSatisfy(metric -> assertThat(reference())
                .contains("| `" + metric + "` |"));
    }

    private Set<String> metricsOf(int adminPort) {
        Set<String> names = new TreeSet<>();
        Matcher matcher = METRIC.matcher(fleet.metrics(adminPort));
        while (matcher.find()) {
            names.add(matcher.group(1));
        }
        return names;
    }
}
