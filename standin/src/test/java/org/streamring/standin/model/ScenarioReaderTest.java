package org.streamring.standin.model;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class ScenarioReaderTest {
    private static final Path CALM = Path.of("..", "examples", "load-calm.toml");

    @DataProvider
    public Object[][] invalidScenarios() {
        return new Object[][] {
            {"slots = 64", "slotss = 64", "slots"},
            {"slots = 64", "", "slots"},
            {"slots = 64", "slots = 0", "engines.count and engines.slots must be above 0"},
            {"slots = 64", "slots = \"many\"", "many"},
            {"account = 0 }", "account = 24 }", "a burst names account 24"},
            {"deadline_millis = 3019", "deadline_millis = 3", "tag: deadline must not be below target"},
        };
    }

    @Test(dataProvider = "invalidScenarios")
    public void anErrorNamesTheKeyOrValue(String original, String replacement, String expectedMessage)
            throws IOException {
        Path file = Files.createTempFile("scenario", ".toml");
        Files.writeString(file, Files.readString(CALM).replace(original, replacement));
        assertThatThrownBy(() -> new ScenarioReader().read(file))
                .isInstanceOf(ScenarioException.class)
                .hasMessageContaining(file.toString())
                .hasMessageContaining(expectedMessage);
    }

    @Test
    public void aMissingFileIsNamed() {
        assertThatThrownBy(() -> new ScenarioReader().read(Path.of("nothere.toml")))
                .isInstanceOf(ScenarioException.class)
                .hasMessageContaining("nothere.toml: can't be read");
    }

    @Test
    public void theExampleIsRead() throws ScenarioException {
        assertThat(new ScenarioReader().read(CALM).kinds()).hasSize(5);
    }
}
