package org.streamring.net.settings;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowableOfType;

import java.time.Duration;
import java.util.Set;
import org.testng.annotations.Test;

public class SettingsSchemaTest {
    private final SettingsSchema schema = new SettingsSchema();
    private final Setting<String> name = schema.text("name", "", "[a-z]+", "A name.");
    private final Setting<Integer> port = schema.integer("listen.port", "8080", 0, 65_535, "A port.");
    private final Setting<Duration> wait = schema.duration("listen.wait", "2s", "A wait.");
    private final Setting<String> mode = schema.choice("mode", "fast", Set.of("fast", "safe"), "A mode.");

    @Test
    public void valuesAndDefaultsAreRead() throws SettingsException {
        SettingValues values = schema.parse("test", "name = \"abc\"\n[listen]\nport = 1\nwait = \"250ms\"\n");
        assertThat(values.get(name)).isEqualTo("abc");
        assertThat(values.get(port)).isEqualTo(1);
        assertThat(values.get(wait)).isEqualTo(Duration.ofMillis(250));
        assertThat(values.get(mode)).isEqualTo("fast");
    }

    @Test
    public void allErrorsAreReportedTogether() {
        SettingsException exception = catchThrowableOfType(
                SettingsException.class,
                () -> schema.parse("test", "nmae = \"x\"\nmode = \"slow\"\n[listen]\nport = 70000\nwait = \"soon\"\n"));
        assertThat(exception.errors()).hasSize(5);
        assertThat(exception.getMessage())
                .contains(
                        "nmae",
                        "unknown key",
                        "mode = \"slow\"",
                        "one of [fast, safe]",
                        "70000",
                        "soon",
                        "must be given");
    }

    @Test
    public void textThatIsNotTomlIsReported() {
        SettingsException exception =
                catchThrowableOfType(SettingsException.class, () -> schema.parse("test", "name = = 1"));
        assertThat(exception.getMessage()).contains("not TOML");
    }
}
