package org.streamring.direct.request;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.Optional;
import org.streamring.direct.TestHeaders;
import org.testng.annotations.Test;

public class ResumedStreamTest {
    private final HttpHeaders headers = new DefaultHttpHeaders();

    @Test
    public void aRequestWithoutBothHeadersBeginsANewStream() {
        assertThat(read(new DefaultHttpHeaders())).isEmpty();
    }

    @Test
    public void theStreamAndItsLastEventAreRead() {
        headers.set(TestHeaders.NAMES.resumes(), "s-1").set(TestHeaders.NAMES.lastEventId(), "12");
        assertThat(read(headers)).contains(new ResumedStream("s-1", "12"));
    }

    @Test
    public void aStreamMayBeNamedWithoutItsLastEvent() {
        assertThat(read(new DefaultHttpHeaders().set(TestHeaders.NAMES.resumes(), "s-1")))
                .contains(new ResumedStream("s-1", ""));
    }

    @Test
    public void aLastEventWithoutAStreamResumesAnUnnamedOne() {
        assertThat(read(new DefaultHttpHeaders().set(TestHeaders.NAMES.lastEventId(), "12")))
                .contains(new ResumedStream("", "12"));
    }

    @Test
    public void severalNamesAreNotGuessedFrom() {
        HttpHeaders repeated = new DefaultHttpHeaders()
                .add(TestHeaders.NAMES.resumes(), "s-1")
                .add(TestHeaders.NAMES.resumes(), "s-2");
        assertThat(read(repeated)).contains(new ResumedStream("", ""));
    }

    private static Optional<ResumedStream> read(HttpHeaders headers) {
        return ResumedStream.of(headers, TestHeaders.NAMES);
    }
}
