package org.streamring.net.settings;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowableOfType;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.streamring.model.declaration.Declarations;
import org.streamring.model.declaration.ServiceKind;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class DeclarationReaderTest {
    private static Path file(String toml) throws IOException {
        Path file = Files.createTempFile("declarations", ".toml");
        Files.writeString(file, toml);
        return file;
    }

    @DataProvider
    public Object[][] examples() {
        return new Object[][] {{"sebeta", "assist-llm"}, {"allkiri", "kirjutaja"}};
    }

    @Test(dataProvider = "examples")
    public void exampleDeclarationsAreValid(String name, String service) throws SettingsException {
        Path example = Path.of("").toAbsolutePath().getParent().resolve("examples/" + name + ".toml");
        Declarations declarations = DeclarationReader.read(List.of(example));
        assertThat(declarations.services().get(service).kind()).isEqualTo(ServiceKind.MODEL);
    }

    @Test
    public void allErrorsAreReportedTogether() throws IOException {
        Path file = file("""
                [budgets.b]
                tokens = -1
                [accounts.a]
                budget = "none"
                key_sha256 = "short"
                services = ["nothing"]
                colour = "red"
                """);
        SettingsException exception =
                catchThrowableOfType(SettingsException.class, () -> DeclarationReader.read(List.of(file)));
        assertThat(exception.errors()).hasSize(5);
        assertThat(exception.getMessage()).contains("colour", "none", "short", "nothing", "tokens");
    }

    @Test
    public void anItemDeclaredInTwoFilesIsRejected() throws IOException {
        List<Path> files = List.of(file("[classes.c]\nrank = 1\n"), file("[classes.c]\nrank = 2\n"));
        SettingsException exception =
                catchThrowableOfType(SettingsException.class, () -> DeclarationReader.read(files));
        assertThat(exception.getMessage()).contains("classes.c", "declared twice");
    }
}
