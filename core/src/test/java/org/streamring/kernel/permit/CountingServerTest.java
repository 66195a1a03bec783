package org.streamring.kernel.permit;

import static org.assertj.core.api.Assertions.assertThat;

import org.testng.annotations.Test;

public class CountingServerTest {
    private static final int ALLOWED = 11;

    @Test
    public void moreRequestsThanAWindowAllowsAreABreach() {
        assertThat(server("informed", ALLOWED).breaches()).isEmpty();
        assertThat(server("informed", ALLOWED + 1).breaches()).hasSize(1);
    }

    @Test
    public void requestsOfEntriesWithoutTheAnnouncementAreNoBreach() {
        assertThat(server("another", ALLOWED + 1).breaches()).isEmpty();
    }

    /**
     * Creates a server that announces a limit of 1 per second to one entry and then receives requests from a sender.
     */
    private static CountingServer server(String sender, int requests) {
        CountingServer server = new CountingServer("i-1@1");
        server.announce(1, 0);
        server.informed("informed", server.notice(), 0);
        for (int i = 0; i < requests; i++) {
            server.arrived(sender, 5_000);
        }
        return server;
    }
}
