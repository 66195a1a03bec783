package org.streamring.direct.ledger;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import java.util.Set;
import org.streamring.kernel.prepaid.Holding;
import org.streamring.kernel.prepaid.Mark;
import org.streamring.kernel.prepaid.MarkRow;
import org.streamring.kernel.prepaid.PrepaidRow;
import org.streamring.kernel.store.StorePosition;
import org.testng.annotations.Test;

public class PrepaidRowCodecTest {
    private static final PrepaidRow ROW = new PrepaidRow(7, 100, 3, Map.of("entry.a", new Holding(20, 5)));
    private static final MarkRow CAPS =
            new MarkRow("entry.a", 12, Map.of("hotel", new Mark(1, 2, 3)), Set.of("entry.b"), 10_000);

    @Test
    public void aRowKeepsItsBasis() {
        PrepaidRow based = ROW.basedOn(new StorePosition(4, 90));
        assertThat(PrepaidRowCodec.write(based)).isEqualTo("[7,100,3,\"entry.a\",20,5,4,90]");
        assertThat(PrepaidRowCodec.read(PrepaidRowCodec.write(based))).contains(based);
    }

    @Test
    public void aRowOfAnOlderVersionHasNoBasis() {
        assertThat(PrepaidRowCodec.read("[7,100,3,\"entry.a\",20,5]")).contains(ROW);
    }

    @Test
    public void rowsAreWrittenAsBeforeIfTheStoreHasNoEras() {
        assertThat(PrepaidRowCodec.write(ROW.basedOn(StorePosition.withoutEra(90))))
                .isEqualTo("[7,100,3,\"entry.a\",20,5]");
        assertThat(PrepaidRowCodec.writeUsageCaps(CAPS))
                .isEqualTo("[\"entry.a\",12,[\"entry.b\"],\"hotel\",1,2,3,10000]");
    }

    @Test
    public void usageCapsKeepTheirEra() {
        MarkRow ofEra = new MarkRow("entry.a", 12, CAPS.caps(), CAPS.witnesses(), 10_000, 4);
        assertThat(PrepaidRowCodec.readUsageCaps(PrepaidRowCodec.writeUsageCaps(ofEra)))
                .contains(ofEra);
    }

    @Test
    public void usageCapsOfOlderVersionsHaveNoEra() {
        assertThat(PrepaidRowCodec.readUsageCaps("[\"entry.a\",12,[\"entry.b\"],\"hotel\",1,2,3,10000]"))
                .contains(CAPS);
        assertThat(PrepaidRowCodec.readUsageCaps("[\"entry.a\",12,[\"entry.b\"],\"hotel\",1,2,3]"))
                .contains(new MarkRow("entry.a", 12, CAPS.caps(), CAPS.witnesses(), 0));
    }
}
