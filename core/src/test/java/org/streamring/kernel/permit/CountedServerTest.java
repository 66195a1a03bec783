package org.streamring.kernel.permit;

import static org.assertj.core.api.Assertions.assertThat;

import org.testng.annotations.Test;

public class CountedServerTest {
    private static final int ALLOWED = 11;

    @Test
    public void moreThanAWindowAllowsIsABreach() {
        assertThat(server("told", ALLOWED).breaches()).isEmpty();
        assertThat(server("told", ALLOWED + 1).breaches()).hasSize(1);
    }

    @Test
    public void whatEntriesSendThatWereNotToldIsNone() {
        assertThat(server("another", ALLOWED + 1).breaches()).isEmpty();
    }

    /** One that names a limit of 1 a second to one entry, and then gets so many requests of another or the same. */
    private static CountedServer server(String sender, int requests) {
        CountedServer server = new CountedServer("i-1@1");
        server.names(1, 0);
        server.told("told", server.word(), 0);
        for (int i = 0; i < requests; i++) {
            server.arrived(sender, 5_000);
        }
        return server;
    }
}
