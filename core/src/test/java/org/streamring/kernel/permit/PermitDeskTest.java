package org.streamring.kernel.permit;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.streamring.kernel.routing.RendezvousHash;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class PermitDeskTest {
    private static final String LIFE = "i-1@1";
    private static final Set<String> ALL = Set.of("a", "b", "c");
    private static final List<String> ORDER = RendezvousHash.order(LIFE, ALL);
    private static final long SETTLED = 20_000;

    private final List<String> sent = new ArrayList<>();
    private long lastNumber;

    @BeforeMethod
    public void setUp() {
        sent.clear();
    }

    @Test
    public void theOwnerAsksItself() {
        PermitDesk desk = desk(ORDER.get(0), ALL);
        limit(desk, 10, SETTLED);
        desk.wanted(LIFE, SETTLED);
        desk.wanted(LIFE, SETTLED + 100);
        assertThat(desk.limits().takes(LIFE, SETTLED + 100)).isTrue();
        assertThat(sent).noneMatch(each -> each.startsWith("ask"));
    }

    @Test
    public void othersAskTheFirstOwnerAndUseItsAnswer() {
        PermitDesk desk = desk(ORDER.get(2), ALL);
        limit(desk, 1, SETTLED);
        desk.wanted(LIFE, SETTLED);
        assertThat(sent).contains("ask " + ORDER.get(0));
        desk.granted(lastNumber, new PermitGrant(1, 0), SETTLED + 10);
        assertThat(desk.limits().takes(LIFE, SETTLED + 10)).isTrue();
    }

    @Test
    public void theSecondIsAskedWhereTheFirstDoesNotAnswer() {
        PermitDesk desk = desk(ORDER.get(2), ALL);
        limit(desk, 1, SETTLED);
        desk.wanted(LIFE, SETTLED);
        desk.goOnWithUnanswered(SETTLED + PermitDesk.TIMEOUT_MILLIS);
        assertThat(sent).contains("ask " + ORDER.get(1));
    }

    @Test
    public void anAnswerThatComesLateGrantsNothing() {
        PermitDesk desk = desk(ORDER.get(2), ALL);
        limit(desk, 1, SETTLED);
        desk.wanted(LIFE, SETTLED);
        long first = lastNumber;
        desk.goOnWithUnanswered(SETTLED + PermitDesk.TIMEOUT_MILLIS);
        desk.granted(first, new PermitGrant(1, 0), SETTLED + 3_000);
        assertThat(desk.limits().takes(LIFE, SETTLED + 3_000)).isFalse();
    }

    @Test
    public void whereNoOwnerIsReachedNothingIsSent() {
        PermitDesk desk = desk(ORDER.get(2), Set.of());
        limit(desk, 1, SETTLED);
        desk.wanted(LIFE, SETTLED);
        assertThat(sent).isEmpty();
        assertThat(desk.limits().takes(LIFE, SETTLED)).isFalse();
        assertThat(desk.limits().turnMillis(LIFE, SETTLED)).isEqualTo(LimitedBackends.ASK_AGAIN_MILLIS);
    }

    @Test
    public void anOwnerThatIsAskedHeedsTheLimitItself() {
        PermitDesk desk = desk(ORDER.get(0), ALL);
        desk.asked(ORDER.get(2), new PermitAsk(new LimitNews(LIFE, 1, 20, 10), 1), SETTLED);
        assertThat(desk.limits().isLimited(LIFE)).isTrue();
    }

    @Test
    public void ownersHearOfALimitAndOfItsEnd() {
        PermitDesk desk = desk(ORDER.get(2), ALL);
        limit(desk, 1, SETTLED);
        desk.answered(LIFE, LimitWord.NONE, SETTLED + 1, SETTLED + 20);
        assertThat(sent)
                .containsExactly(
                        "tell " + ORDER.get(0) + " 1.0",
                        "tell " + ORDER.get(1) + " 1.0",
                        "tell " + ORDER.get(0) + " Infinity",
                        "tell " + ORDER.get(1) + " Infinity");
    }

    @Test
    public void newsOfYesterdayDoesNotEndALimit() {
        PermitDesk desk = desk(ORDER.get(0), ALL);
        limit(desk, 1, SETTLED);
        desk.told(ORDER.get(2), new LimitNews(LIFE, NamedLimit.UNLIMITED, 500, 400), SETTLED + 100);
        desk.wanted(LIFE, SETTLED + 100);
        assertThat(desk.limits().takes(LIFE, SETTLED + 100)).isFalse();
    }

    private PermitDesk desk(String own, Set<String> connected) {
        PermitDesk desk = new PermitDesk(own, new Link(), new SilentLimitEvents());
        desk.entries(ALL, connected, 0);
        desk.entries(ALL, connected, SETTLED);
        return desk;
    }

    private static void limit(PermitDesk desk, double perSecond, long nowMillis) {
        desk.answered(LIFE, LimitWord.named(perSecond), nowMillis - 50, nowMillis);
    }

    private final class Link implements PermitLink {
        @Override
        public void ask(String entry, long number, PermitAsk ask) {
            lastNumber = number;
            sent.add("ask " + entry);
        }

        @Override
        public void tell(String entry, LimitNews news) {
            sent.add("tell " + entry + " " + news.perSecond());
        }
    }
}
