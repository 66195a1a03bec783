package org.streamring.kernel.prepaid;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.stream.IntStream;
import org.testng.annotations.Test;

public class AccountHomesTest {
    private static final List<String> FLEET =
            IntStream.range(0, 30).mapToObj(number -> "entry-" + number).toList();

    private static final List<String> HUNDREDS =
            IntStream.range(0, 300).mapToObj(number -> "entry-" + number).toList();

    @Test
    public void anEntryThatKnowsNobodyIsHomeOfAll() {
        assertThat(new AccountHomes("entry-1").isHome("hospitals")).isTrue();
    }

    @Test
    public void inASmallFleetAllEntriesAreHomes() {
        AccountHomes homes = homes("entry-1", FLEET.subList(0, 8));
        assertThat(homes.of("hospitals")).containsExactlyInAnyOrderElementsOf(FLEET.subList(0, 8));
        assertThat(homes.isHome("hospitals")).isTrue();
    }

    @Test
    public void inALargeFleetAFewAreAndAllEntriesAgreeWhich() {
        List<String> chosen = homes("entry-1", FLEET).of("hospitals");
        assertThat(chosen).hasSize(2).doesNotHaveDuplicates();
        assertThat(FLEET).allSatisfy(name -> {
            AccountHomes homes = homes(name, FLEET);
            assertThat(homes.of("hospitals")).isEqualTo(chosen);
            assertThat(homes.isHome("hospitals")).isEqualTo(chosen.contains(name));
        });
    }

    @Test
    public void accountsAreSpreadOverTheEntries() {
        AccountHomes homes = homes("entry-1", FLEET);
        long different = IntStream.range(0, 24)
                .mapToObj(number -> homes.of("account-" + number).get(0))
                .distinct()
                .count();
        assertThat(different).isGreaterThan(12);
    }

    @Test
    public void theHomesOfAnAccountStayButForThoseThatAreGone() {
        List<String> before = homes("entry-1", FLEET).of("hospitals");
        for (String gone : before) {
            List<String> left =
                    FLEET.stream().filter(name -> !name.equals(gone)).toList();
            List<String> stay =
                    before.stream().filter(name -> !name.equals(gone)).toList();
            assertThat(homes("entry-1", left).of("hospitals"))
                    .hasSize(before.size())
                    .containsAll(stay)
                    .doesNotContain(gone);
        }
    }

    /** Beyond forty entries not all are connected; homes that a borrower does not reach refuse its callers. */
    @Test
    public void inAFleetOfHundredsTheHomesOfAllAccountsAreAmongAFewHolders() {
        AccountHomes homes = homes("entry-1", HUNDREDS);
        assertThat(homes.holders()).hasSize(24);
        assertThat(IntStream.range(0, 200))
                .allSatisfy(number -> assertThat(homes.holders()).containsAll(homes.of("account-" + number)));
        assertThat(HUNDREDS)
                .allSatisfy(name -> assertThat(homes(name, HUNDREDS).holders()).isEqualTo(homes.holders()));
    }

    @Test
    public void whereAllAreConnectedAllMayHold() {
        assertThat(homes("entry-1", FLEET).holders()).containsExactlyInAnyOrderElementsOf(FLEET);
    }

    @Test
    public void aHolderThatIsGoneIsReplacedByOneOther() {
        AccountHomes homes = homes("entry-1", HUNDREDS);
        String gone = homes.holders().iterator().next();
        List<String> left = HUNDREDS.stream().filter(name -> !name.equals(gone)).toList();
        assertThat(homes(left.get(0), left).holders()).hasSize(24).doesNotContain(gone);
        assertThat(homes(left.get(0), left).holders().stream()
                        .filter(homes.holders()::contains)
                        .count())
                .isEqualTo(23);
    }

    private static AccountHomes homes(String own, List<String> fleet) {
        AccountHomes homes = new AccountHomes(own);
        homes.others(fleet);
        return homes;
    }
}
