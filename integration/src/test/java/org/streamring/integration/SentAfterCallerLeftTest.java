package org.streamring.integration;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.Socket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import org.streamring.fleet.Fleet;
import org.testng.annotations.Test;

/** Checks that an entry with sidecars does not forward requests whose callers have already disconnected. */
public class SentAfterCallerLeftTest extends FleetTestBase {
    private static final int DISCONNECTING_CALLERS = 20;
    private static final long PAUSE_MILLIS = 700;
    private static final long SETTLE_MILLIS = 1_500;

    @Test
    public void requestsOfCallersThatDisconnectedDuringAPauseAreNotRun() throws Exception {
        fleet = Fleet.small().start(1);
        assertThat(fleet.chat("entry-1", Fleet.HOSPITAL_KEY, 5, false, "").statusCode())
                .isEqualTo(200);
        int attemptsBefore = fleet.engineTokens().size();
        fleet.entries.get("entry-1").pause();
        for (int i = 0; i < DISCONNECTING_CALLERS; i++) {
            sendRequestAndDisconnect();
        }
        Thread.sleep(PAUSE_MILLIS);
        fleet.entries.get("entry-1").resume();

        assertThat(fleet.chat("entry-1", Fleet.HOSPITAL_KEY, 5, false, "").statusCode())
                .isEqualTo(200);
        Thread.sleep(SETTLE_MILLIS);
        assertThat(fleet.engineTokens()).hasSize(attemptsBefore + 1);
    }

    private void sendRequestAndDisconnect() throws Exception {
        URI entry = URI.create(fleet.url("entry-1"));
        String body = Fleet.chatBody(200, true);
        String request =
                "POST /v1/chat/completions HTTP/1.1\r\nHost: entry\r\nAuthorization: Bearer " + Fleet.HOSPITAL_KEY
                        + "\r\nContent-Type: application/json\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
        try (Socket caller = new Socket(entry.getHost(), entry.getPort())) {
            caller.getOutputStream().write(request.getBytes(StandardCharsets.UTF_8));
        }
    }
}
