package org.streamring.direct.feed;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.streamring.direct.log.DecisionLog;
import org.streamring.direct.metrics.EntryMetrics;
import org.streamring.kernel.availability.AvailabilityEvents;
import org.streamring.kernel.availability.BackendAvailability;
import org.streamring.kernel.availability.NoticeSource;
import org.streamring.kernel.registry.BackendInstance;
import org.streamring.kernel.registry.BackendRegistry;
import org.testng.annotations.Test;

public class SoftwareVersionLogTest {
    @Test
    public void versionsAreLoggedWhenTheyAppearAndWhenTheirLastServerIsGone() throws Exception {
        BackendRegistry registry =
                new BackendRegistry(2_000, new BackendAvailability(() -> 2_000, new NoOpAvailabilityEvents()));
        ByteArrayOutputStream output = new ByteArrayOutputStream();
        EntryMetrics metrics = new EntryMetrics();
        DecisionLog log = new DecisionLog(output, "entry-1");
        SoftwareVersionLog versions = new SoftwareVersionLog(registry, version -> 7, metrics, log);

        registry.replaceAll(List.of(instance("i-1", "v1"), instance("i-2", "v1")), 10_000);
        versions.check();
        registry.replaceAll(List.of(instance("i-2", "v1"), instance("i-3", "v2")), 20_000);
        versions.check();
        assertThat(metrics.registry().scrape()).contains("streamring_direct_backends_software_versions 2.0");
        registry.replaceAll(List.of(instance("i-3", "v2")), 30_000);
        versions.check();
        versions.check();
        log.close();

        List<String> lines = output.toString(StandardCharsets.UTF_8).lines().toList();
        assertThat(lines).hasSize(3);
        assertThat(lines.get(0)).contains("software_version_listed", "\"software\":\"v1\",\"servers\":2");
        assertThat(lines.get(1)).contains("software_version_listed", "\"software\":\"v2\",\"servers\":1");
        assertThat(lines.get(2)).contains("software_version_gone", "\"software\":\"v1\"", "\"streams\":7");
    }

    private static BackendInstance instance(String id, String version) {
        return new BackendInstance(id, "assist", "10.0.0.1", 1, "hall", 8, true, 0, 0, version);
    }

    private static final class NoOpAvailabilityEvents implements AvailabilityEvents {
        @Override
        public void leaving(String incarnation, NoticeSource source) {
            // not observed here
        }

        @Override
        public void backOffStarted(String incarnation, long millis) {
            // not observed here
        }

        @Override
        public void backOffEnded(String incarnation) {
            // not observed here
        }
    }
}
