package org.streamring.direct.backend;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.List;
import org.streamring.kernel.permit.LimitWord;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class LimitReaderTest {
    private static final String LIMIT = "limit";

    private final LimitReader reader = new LimitReader(LIMIT);

    @DataProvider
    public static Object[][] numbers() {
        return new Object[][] {
            {"0", 0.0},
            {"0.3", 0.3},
            {" 1.2 ", 1.2},
            {"4", 4.0},
            {"1e9", 1e9},
            {"999999999999999", 999_999_999_999_999.0},
        };
    }

    @Test(dataProvider = "numbers")
    public void aDecimalNumberIsReadAsALimit(String value, double perSecond) {
        assertThat(reader.read(headers(value))).isEqualTo(LimitWord.named(perSecond));
    }

    @DataProvider
    public static Object[] badValues() {
        return new Object[] {
            "", " ", "NaN", "Infinity", "-1", "1,5", "0x10", "many", ".5", "1.", "1e999", "9".repeat(400), "1 2", "1;2"
        };
    }

    @Test(dataProvider = "badValues")
    public void anyOtherValueIsUnreadable(String value) {
        assertThat(reader.read(headers(value))).isEqualTo(LimitWord.UNREADABLE);
    }

    @Test
    public void anAnswerWithoutTheHeaderAnnouncesNoLimit() {
        assertThat(reader.read(headers())).isEqualTo(LimitWord.NONE);
    }

    @Test
    public void theSmallestOfSeveralLimitsApplies() {
        assertThat(reader.read(headers("3", "2", "x"))).isEqualTo(LimitWord.named(2));
    }

    private static HttpHeaders headers(String... values) {
        HttpHeaders headers = new DefaultHttpHeaders(false);
        headers.add(LIMIT, List.of(values));
        return headers;
    }
}
