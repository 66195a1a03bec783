package org.streamring.direct.request;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import org.streamring.direct.TestHeaders;
import org.streamring.direct.caller.CallerRequest;
import org.streamring.model.route.Route;
import org.testng.annotations.Test;

/** Tests for how long a caller waits and may resume its stream. */
public class RequestPlanTest {
    private static final Route ROUTE = TestRoutes.RESUMABLE_STREAMS;

    @Test
    public void aStreamThatTheTimeoutEndedCanBeResumedByACallerWithoutADeadline() {
        assertThat(resumePeriod(new DefaultHttpHeaders()))
                .isGreaterThan(ROUTE.timeout().toMillis());
    }

    @Test
    public void aCallerResumesNoStreamAfterItsDeadline() {
        assertThat(resumePeriod(new DefaultHttpHeaders().set(TestHeaders.NAMES.deadline(), "4000")))
                .isEqualTo(4_000);
    }

    @Test
    public void aDeadlineThatIsNoNumberIsNone() {
        assertThat(resumePeriod(new DefaultHttpHeaders().set(TestHeaders.NAMES.deadline(), "soon")))
                .isEqualTo(resumePeriod(new DefaultHttpHeaders()));
    }

    private static long resumePeriod(HttpHeaders headers) {
        CallerRequest request = new CallerRequest(HttpMethod.POST, "/a/b", headers, new byte[0], 0);
        return RequestPlan.resumePeriod(request, ROUTE, TestHeaders.NAMES);
    }
}
