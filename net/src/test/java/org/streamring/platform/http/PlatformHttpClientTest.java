package org.streamring.platform.http;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import org.streamring.kernel.table.PlatformException;
import org.streamring.net.http.ScriptedServer;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Guards against answers of the platform that are not whole, are made of two, or belong to another call. */
public class PlatformHttpClientTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(5);
    /** Gives written bytes time to arrive. */
    private static final long ARRIVAL_MILLIS = 30;

    private static final String END = "\r\n\r\n";
    private static final String SECOND = "HTTP/1.1 200 OK\r\nContent-Length: 9" + END + "{\"ver\":9}";

    private volatile ScriptedServer.Script script;
    private ScriptedServer server;
    private PlatformHttpClient client;

    @BeforeMethod
    public void setUp() throws IOException {
        server = new ScriptedServer(connection -> {
            connection.readRequest();
            script.play(connection);
            connection.readRequest();
        });
        client = new PlatformHttpClient(
                URI.create("http://127.0.0.1:" + server.address().getPort()), "test-key", TIMEOUT);
    }

    @AfterMethod(alwaysRun = true)
    public void tearDown() throws IOException {
        client.close();
        server.close();
    }

    @DataProvider
    public Object[][] heads() {
        return new Object[][] {
            {"HTTP/1.1 404 Not Found\r\nContent-Type: application/json\r\nContent-Length: 9"},
            {"HTTP/1.1 200 OK\r\nServer: a b\r\nTransfer-Encoding: chunked"},
        };
    }

    @Test(dataProvider = "heads")
    public void aHeadThatBreaksOffAtAnyByteIsNotCompletedByTheNextAnswer(String first) throws Exception {
        String head = first + END;
        for (int cut = 1; cut < head.length(); cut++) {
            String merged = head.substring(0, cut) + SECOND;
            assertFails("broken off behind " + head.substring(0, cut), connection -> connection.write(merged));
        }
    }

    @DataProvider
    public Object[][] answers() {
        return new Object[][] {
            {SECOND}, {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked" + END + "5\r\n{\"ver\r\n4\r\n\":9}\r\n0" + END},
        };
    }

    @Test(dataProvider = "answers")
    public void anAnswerThatEndsAtAnyByteIsNotWhole(String answer) throws Exception {
        for (int cut = 0; cut < answer.length(); cut++) {
            String part = answer.substring(0, cut);
            assertFails("ends with " + part, connection -> {
                connection.write(part);
                connection.shutDown();
            });
            assertFails("is reset behind " + part, connection -> {
                connection.write(part);
                connection.reset();
            });
        }
    }

    @Test
    public void anAnswerWithoutALengthThatEndsByAResetIsNotWhole() throws Exception {
        assertFails("reset", connection -> {
            connection.write("HTTP/1.1 200 OK" + END + "{\"ver\":9}");
            Thread.sleep(ARRIVAL_MILLIS);
            connection.reset();
        });
    }

    @Test
    public void aPartOfAHeadThatArrivesOnAnIdleConnectionIsNotCompletedByTheNextAnswer() throws Exception {
        script = connection -> {
            connection.write(SECOND);
            Thread.sleep(ARRIVAL_MILLIS);
            connection.write("HTTP/1.1 404 Not Fou");
            connection.readRequest();
            connection.write(SECOND);
        };
        assertThat(new String(client.getBytes("get", "/"), StandardCharsets.US_ASCII))
                .isEqualTo("{\"ver\":9}");
        Thread.sleep(2 * ARRIVAL_MILLIS);
        assertThatThrownBy(() -> client.getBytes("get", "/"))
                .isExactlyInstanceOf(PlatformException.class)
                .hasMessageContaining("merged head");
    }

    private void assertFails(String description, ScriptedServer.Script answer) {
        script = answer;
        assertThatThrownBy(() -> client.getBytes("get", "/"))
                .as(description)
                .isExactlyInstanceOf(PlatformException.class);
    }
}
