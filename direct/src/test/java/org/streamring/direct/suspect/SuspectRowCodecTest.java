package org.streamring.direct.suspect;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.streamring.kernel.suspect.BrokenAttempt;
import org.streamring.kernel.suspect.SuspectId;
import org.streamring.kernel.suspect.SuspectReport;
import org.testng.annotations.Test;

public class SuspectRowCodecTest {
    private static final SuspectId REQUEST = SuspectId.request("Zk3v_-");
    private static final SuspectId OTHER_REQUEST = SuspectId.request("b81k");
    private static final SuspectId PART = SuspectId.promptPart("Q0x_");
    private static final SuspectId ACCOUNT = SuspectId.account("t-7a");
    private static final SuspectId NO_ACCOUNT = SuspectId.account("");

    private final SuspectRowCodec codec = new SuspectRowCodec();

    @Test
    public void aReportIsReadBackAsItWasWritten() {
        SuspectReport report = new SuspectReport(
                Map.of(
                        "i-1@5",
                        List.of(new BrokenAttempt(REQUEST, NO_ACCOUNT, Map.of(REQUEST, 2))),
                        "i-2@0",
                        List.of(),
                        "i-3@0",
                        List.of(new BrokenAttempt(REQUEST, ACCOUNT, Map.of(REQUEST, 1, PART, 3))),
                        "i-4@0+1",
                        List.of(new BrokenAttempt(OTHER_REQUEST, ACCOUNT, Map.of(PART, 4)))),
                Map.of(REQUEST, Set.of("i-1@5", "i-3@9"), PART, Set.of("i-5@1")));
        assertThat(codec.read(codec.write(report))).contains(report);
    }

    /** The texts are those that an entry of the version before writes, and reads. */
    @Test
    public void reportsOfRequestsAreExchangedWithTheVersionBefore() {
        String text = "{\"crashes\":{\"i-1@5\":{\"Zk3v_-\":2},\"i-2@0\":{}},\"cleared\":{\"Zk3v_-\":[\"i-3@9\"]}}";
        SuspectReport report = codec.read(text).orElseThrow();
        assertThat(report.crashes())
                .containsEntry("i-1@5", List.of(new BrokenAttempt(REQUEST, NO_ACCOUNT, Map.of(REQUEST, 2))))
                .containsEntry("i-2@0", List.of());
        assertThat(report.cleared()).containsEntry(REQUEST, Set.of("i-3@9"));
        assertThat(codec.write(report)).contains("\"crashes\":{\"i-1@5\":{\"Zk3v_-\":2},\"i-2@0\":{}}");
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
                .containsEntry("i-1@1", List.of(attempt("e")))
                .containsEntry("i-2@1", List.of());
    }

    @Test
    public void anInvalidPromptDoesNotAffectTheOthers() {
        String text = "{\"crashes\":{\"i-1@1\":{\"e\":1}},\"prompts\":{\"i-1@1\":{\"e\":[],\"f\":{\"parts\":"
                + "{\"Q0x_\":2,\"x\":0,\"y\":\"1\"}}},\"i-2@1\":3}}";
        assertThat(codec.read(text).orElseThrow().crashes())
                .containsEntry("i-2@1", List.of())
                .hasEntrySatisfying("i-1@1", attempts -> assertThat(attempts)
                        .containsExactlyInAnyOrder(
                                attempt("e"), new BrokenAttempt(SuspectId.request("f"), NO_ACCOUNT, Map.of(PART, 2))));
    }

    private static BrokenAttempt attempt(String request) {
        SuspectId id = SuspectId.request(request);
        return new BrokenAttempt(id, NO_ACCOUNT, Map.of(id, 1));
    }
}
