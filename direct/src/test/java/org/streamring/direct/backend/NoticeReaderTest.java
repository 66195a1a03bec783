package org.streamring.direct.backend;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import org.streamring.kernel.availability.BackendNotice;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class NoticeReaderTest {
    private static final String SHUTDOWN_HEADER = "Leaving";

    private final NoticeReader reader = new NoticeReader(SHUTDOWN_HEADER);

    @DataProvider
    public Object[][] retryAfterValues() {
        return new Object[][] {
            {"3", 3_000},
            {"0.25", 250},
            {"0.0001", 1},
            {"0", 0},
            {"-3", 0},
            {"", 0},
            {"soon", 0},
            {"3d", 0},
            {"NaN", 0},
            {"Infinity", 0},
            {"Fri, 31 Dec 1999 23:59:59 GMT", 0},
            {"86400", NoticeReader.MAX_BACK_OFF_MILLIS},
            {"999999999999999", NoticeReader.MAX_BACK_OFF_MILLIS},
            {"9".repeat(400), 0},
        };
    }

    @Test(dataProvider = "retryAfterValues")
    public void retryAfterIsReadAsSecondsUpToTheMaximum(String header, long millis) {
        assertThat(reader.read(503, headers("Retry-After", header)).backOffMillis())
                .isEqualTo(millis);
    }

    @Test
    public void retryAfterIsReadOnlyFromAnswersWithStatus503() {
        assertThat(reader.read(200, headers("Retry-After", "3"))).isEqualTo(BackendNotice.NONE);
        assertThat(reader.read(503, new DefaultHttpHeaders())).isEqualTo(BackendNotice.NONE);
    }

    @Test
    public void theShutdownHeaderIsReadFromAnswersOfAnyStatus() {
        for (int status : new int[] {200, 404, 421, 500, 503}) {
            assertThat(reader.read(status, headers(SHUTDOWN_HEADER, "1")).shuttingDown())
                    .isTrue();
        }
    }

    @Test
    public void otherValuesOfTheShutdownHeaderAreIgnored() {
        assertThat(reader.read(200, headers(SHUTDOWN_HEADER, "0")).shuttingDown())
                .isFalse();
        assertThat(reader.read(200, headers(SHUTDOWN_HEADER, "")).shuttingDown())
                .isFalse();
    }

    private static HttpHeaders headers(String name, String value) {
        return new DefaultHttpHeaders().set(name, value);
    }
}
