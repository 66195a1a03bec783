package org.streamring.direct.suspect;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import java.util.Set;
import org.streamring.kernel.suspect.SuspectId;
import org.streamring.kernel.suspect.SuspectReport;
import org.testng.annotations.Test;

public class SuspectRowCodecTest {
    private static final SuspectId REQUEST = SuspectId.request("Zk3v_-");

    private final SuspectRowCodec codec = new SuspectRowCodec();

    @Test
    public void aReportIsReadBackAsItWasWritten() {
        SuspectReport report = new SuspectReport(
                Map.of("i-1@5", Map.of(REQUEST, 2), "i-2@0", Map.of()), Map.of(REQUEST, Set.of("i-1@5", "i-3@9")));
        assertThat(codec.read(codec.write(report))).contains(report);
    }

    @Test
    public void textInAnotherFormatIsNotReadAsAReport() {
        assertThat(codec.read("")).isEmpty();
        assertThat(codec.read("[1,2]")).isEmpty();
        assertThat(codec.read("{\"crashes\":")).isEmpty();
        assertThat(codec.read("null")).isEmpty();
    }

    @Test
    public void anInvalidItemDoesNotAffectTheOthers() {
        String text = "{\"crashes\":{\"i-1@1\":{\"a\":\"2\",\"b\":-1,\"c\":2147483647,\"d\":3.5,\"e\":1},\"i-2@1\":7},"
                + "\"cleared\":\"all\",\"other\":[]}";
        assertThat(codec.read(text).orElseThrow().crashes())
                .containsEntry("i-1@1", Map.of(SuspectId.request("e"), 1))
                .containsEntry("i-2@1", Map.of());
    }
}
