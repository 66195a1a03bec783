package org.streamring.integration;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.Socket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import org.streamring.fleet.Fleet;
import org.testng.annotations.Test;

/** Guards against requests that an entry with sidecars sends on after their callers have left. */
public class SentAfterCallerLeftTest extends FleetTestBase {
    private static final int LEAVING = 20;
    private static final long STANDSTILL_MILLIS = 700;
    private static final long SETTLE_MILLIS = 1_500;

    @Test
    public void requestsOfCallersThatLeftDuringAStandstillAreNotRun() throws Exception {
        fleet = Fleet.small().start(1);
        assertThat(fleet.chat("entry-1", Fleet.HOSPITAL, 5, false, "").statusCode())
                .isEqualTo(200);
        int ranBefore = fleet.ranTokens().size();
        fleet.entries.get("entry-1").pause();
        for (int i = 0; i < LEAVING; i++) {
            askAndLeave();
        }
        Thread.sleep(STANDSTILL_MILLIS);
        fleet.entries.get("entry-1").resume();

        assertThat(fleet.chat("entry-1", Fleet.HOSPITAL, 5, false, "").statusCode())
                .isEqualTo(200);
        Thread.sleep(SETTLE_MILLIS);
        assertThat(fleet.ranTokens()).hasSize(ranBefore + 1);
    }

    private void askAndLeave() throws Exception {
        URI entry = URI.create(fleet.url("entry-1"));
        String body = Fleet.chatBody(200, true);
        String request = "POST /v1/chat/completions HTTP/1.1\r\nHost: entry\r\nAuthorization: Bearer " + Fleet.HOSPITAL
                + "\r\nContent-Type: application/json\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
        try (Socket caller = new Socket(entry.getHost(), entry.getPort())) {
            caller.getOutputStream().write(request.getBytes(StandardCharsets.UTF_8));
        }
    }
}
