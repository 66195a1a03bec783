package org.streamring.kernel.suspect;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.Set;
import org.testng.annotations.Test;

public class RequestDigesterTest {
    private final RequestDigester digester = new RequestDigester(bytes("secret of the fleet"));

    @Test
    public void theSameRequestAndSecretGiveTheSameDigest() {
        RequestDigester other = new RequestDigester(bytes("secret of the fleet"));
        assertThat(other.digest("/a", "hotel", bytes("body"))).isEqualTo(digester.digest("/a", "hotel", bytes("body")));
    }

    @Test
    public void anotherPathAccountBodyOrSecretGivesAnotherDigest() {
        RequestDigester otherSecret = new RequestDigester(bytes("another secret"));
        assertThat(Set.of(
                        digester.digest("/a", "hotel", bytes("body")),
                        digester.digest("/b", "hotel", bytes("body")),
                        digester.digest("/a", "motel", bytes("body")),
                        digester.digest("/a", "hotel", bytes("Body")),
                        otherSecret.digest("/a", "hotel", bytes("body"))))
                .hasSize(5);
    }

    @Test
    public void movingBytesBetweenPathAccountAndBodyGivesAnotherDigest() {
        assertThat(digester.digest("/ab", "c", bytes("d"))).isNotEqualTo(digester.digest("/a", "bc", bytes("d")));
        assertThat(digester.digest("/a", "", bytes("bc"))).isNotEqualTo(digester.digest("/a", "b", bytes("c")));
    }

    @Test
    public void partsOfPromptsAndAccountsOfTheSameNameHaveDifferentIdentities() {
        SuspectId part = digester.digestOfPromptPart("hotel");
        assertThat(part).isEqualTo(digester.digestOfPromptPart("hotel"));
        assertThat(part.digest()).isNotEqualTo(digester.digestOfAccount("hotel").digest());
        assertThat(part.text()).startsWith("p:");
        assertThat(digester.digestOfAccount("hotel").text()).startsWith("a:");
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }
}
