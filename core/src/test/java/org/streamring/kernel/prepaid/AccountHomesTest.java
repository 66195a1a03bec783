package org.streamring.kernel.prepaid;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.stream.IntStream;
import org.testng.annotations.Test;

public class AccountHomesTest {
    private static final List<String> FLEET =
            IntStream.range(0, 30).mapToObj(number -> "entry-" + number).toList();

    private static final List<String> LARGE_FLEET =
            IntStream.range(0, 300).mapToObj(number -> "entry-" + number).toList();

    @Test
    public void anEntryWithoutPeersIsHomeEntryOfAllAccounts() {
        assertThat(new AccountHomes("entry-1").isHome("hospitals")).isTrue();
    }

    @Test
    public void inASmallFleetAllEntriesAreHomeEntries() {
        AccountHomes homes = homes("entry-1", FLEET.subList(0, 8));
        assertThat(homes.of("hospitals")).containsExactlyInAnyOrderElementsOf(FLEET.subList(0, 8));
        assertThat(homes.isHome("hospitals")).isTrue();
    }

    @Test
    public void inALargerFleetAllEntriesSelectTheSameFewHomeEntries() {
        List<String> chosen = homes("entry-1", FLEET).of("hospitals");
        assertThat(chosen).hasSize(2).doesNotHaveDuplicates();
        assertThat(FLEET).allSatisfy(name -> {
            AccountHomes homes = homes(name, FLEET);
            assertThat(homes.of("hospitals")).isEqualTo(chosen);
            assertThat(homes.isHome("hospitals")).isEqualTo(chosen.contains(name));
        });
    }

    @Test
    public void homeEntriesOfAccountsAreSpreadOverTheFleet() {
        AccountHomes homes = homes("entry-1", FLEET);
        long different = IntStream.range(0, 24)
                .mapToObj(number -> homes.of("account-" + number).get(0))
                .distinct()
                .count();
        assertThat(different).isGreaterThan(12);
    }

    @Test
    public void onlyHomeEntriesThatAreGoneAreReplaced() {
        List<String> before = homes("entry-1", FLEET).of("hospitals");
        for (String removed : before) {
            List<String> remainingEntries =
                    FLEET.stream().filter(name -> !name.equals(removed)).toList();
            List<String> remainingHomes =
                    before.stream().filter(name -> !name.equals(removed)).toList();
            assertThat(homes("entry-1", remainingEntries).of("hospitals"))
                    .hasSize(before.size())
                    .containsAll(remainingHomes)
                    .doesNotContain(removed);
        }
    }

    /**
     * With more than forty entries, not every pair is connected. Home entries that a borrower cannot reach would cause
     * refusals.
     */
    @Test
    public void inAFleetOfHundredsAllHomeEntriesAreAmongAFewHolders() {
        AccountHomes homes = homes("entry-1", LARGE_FLEET);
        assertThat(homes.holders()).hasSize(24);
        assertThat(IntStream.range(0, 200))
                .allSatisfy(number -> assertThat(homes.holders()).containsAll(homes.of("account-" + number)));
        assertThat(LARGE_FLEET)
                .allSatisfy(
                        name -> assertThat(homes(name, LARGE_FLEET).holders()).isEqualTo(homes.holders()));
    }

    @Test
    public void allEntriesAreHoldersWhereAllAreConnected() {
        assertThat(homes("entry-1", FLEET).holders()).containsExactlyInAnyOrderElementsOf(FLEET);
    }

    @Test
    public void aHolderThatIsGoneIsReplacedByOneEntry() {
        AccountHomes homes = homes("entry-1", LARGE_FLEET);
        String removed = homes.holders().iterator().next();
        List<String> remainingEntries =
                LARGE_FLEET.stream().filter(name -> !name.equals(removed)).toList();
        assertThat(homes(remainingEntries.get(0), remainingEntries).holders())
                .hasSize(24)
                .doesNotContain(removed);
        assertThat(homes(remainingEntries.get(0), remainingEntries).holders().stream()
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
