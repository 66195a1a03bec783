package org.streamring.direct.backend;

import static org.assertj.core.api.Assertions.assertThat;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class RecentAnswersTest {
    private static final long SENT = 1_000;

    @DataProvider
    public static Object[][] requests() {
        return new Object[][] {
            {"sent before, as urgent", 3, SENT - 1, true},
            {"sent at the same moment", 3, SENT, false},
            {"sent later", 3, SENT + 1, false},
            {"sent before, more urgent", 1, SENT - 1, true},
            {"sent before, but less urgent, so it may have to wait", 5, SENT - 1, false},
        };
    }

    @Test(dataProvider = "requests")
    public void anAnswerCountsOnlyIfItsRequestWasSentLaterAndIsNotMoreUrgent(
            String name, int urgency, long since, boolean laterAnswered) {
        RecentAnswers answers = new RecentAnswers();
        answers.add(3, SENT);
        assertThat(answers.answeredLaterRequest(urgency, since)).as(name).isEqualTo(laterAnswered);
    }

    @Test
    public void withoutAnswersNoLaterRequestWasAnswered() {
        assertThat(new RecentAnswers().answeredLaterRequest(0, Long.MIN_VALUE)).isFalse();
    }
}
