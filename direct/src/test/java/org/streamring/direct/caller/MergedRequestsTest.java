package org.streamring.direct.caller;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.streamring.direct.TestHeaders;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Guards against requests that are smuggled inside another, or whose headers are those of two. */
public class MergedRequestsTest extends CallerServerTestBase {
    private static final String BROKEN_OFF = "POST /a HTTP/1.1\r\nHost: h.example\r\nX-A: foo";
    private static final String SECOND = "POST /b HTTP/1.1\r\nid: r\r\nContent-Length: 4\r\n\r\nbody";

    @Test
    public void aRequestInsideAnotherIsRefusedAndNothingBehindItIsServed() throws Exception {
        send(BROKEN_OFF + SECOND + request(4) + "body");
        assertRefusedAsMerged();
    }

    @Test
    public void aRequestInsideAnotherIsRefusedBehindASoundOne() throws Exception {
        send(request(4) + "body" + BROKEN_OFF + SECOND);
        assertThat(readAnswer()).startsWith("HTTP/1.1 200");
        assertThat(served).hasSize(1);
        served.clear();
        assertRefusedAsMerged();
    }

    @DataProvider
    public Object[][] singleHeaders() {
        return new Object[][] {
            {"Host"},
            {"authorization"},
            {TestHeaders.NAMES.requestId()},
            {TestHeaders.NAMES.deadline()},
            {TestHeaders.NAMES.tokens()},
            {TestHeaders.NAMES.promptParts()},
            {TestHeaders.NAMES.lengthHint()},
            {TestHeaders.NAMES.lastEventId()},
        };
    }

    @Test(dataProvider = "singleHeaders")
    public void aRequestThatRepeatsAHeaderWhichARequestHasOnceIsRefused(String header) throws Exception {
        String twice = header + ": r\r\nX-A: foo\r\n" + header + ": r\r\n";
        String identifier = header.equals(TestHeaders.NAMES.requestId()) ? "" : "id: r\r\n";
        send("GET /a HTTP/1.1\r\n" + identifier + twice + "\r\n" + request(4) + "body");
        assertRefusedAsMerged();
    }

    private void assertRefusedAsMerged() throws IOException {
        String rest = new String(caller.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
        assertThat(rest).startsWith("HTTP/1.1 400").containsIgnoringCase("connection: close");
        assertThat(rest.split("HTTP/1.1", -1)).as("answers in %s", rest).hasSize(2);
        assertThat(served).isEmpty();
        assertThat(refused).containsExactly("r 400 merged_head");
    }
}
