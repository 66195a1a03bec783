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
        assertThat(new HomeEntries("entry-1").isHome("hospitals")).isTrue();
    }

    @Test
    public void inASmallFleetAllEntriesAreHomeEntries() {
        HomeEntries homeEntries = homeEntries("entry-1", FLEET.subList(0, 8));
        assertThat(homeEntries.of("hospitals")).containsExactlyInAnyOrderElementsOf(FLEET.subList(0, 8));
        assertThat(homeEntries.isHome("hospitals")).isTrue();
    }

    @Test
    public void inALargerFleetAllEntriesSelectTheSameFewHomeEntries() {
        List<String> chosen = homeEntries("entry-1", FLEET).of("hospitals");
        assertThat(chosen).hasSize(2).doesNotHaveDuplicates();
        assertThat(FLEET).allSatisfy(name -> {
            HomeEntries homeEntries = homeEntries(name, FLEET);
            assertThat(homeEntries.of("hospitals")).isEqualTo(chosen);
            assertThat(homeEntries.isHome("hospitals")).isEqualTo(chosen.contains(name));
        });
    }

    @Test
    public void homeEntriesOfAccountsAreSpreadOverTheFleet() {
        HomeEntries homeEntries = homeEntries("entry-1", FLEET);
        long different = IntStream.range(0, 24)
                .mapToObj(number -> homeEntries.of("account-" + number).get(0))
                .distinct()
                .count();
        assertThat(different).isGreaterThan(12);
    }

    @Test
    public void onlyHomeEntriesThatAreGoneAreReplaced() {
        List<String> before = homeEntries("entry-1", FLEET).of("hospitals");
        for (String removed : before) {
            List<String> remainingEntries =
                    FLEET.stream().filter(name -> !name.equals(removed)).toList();
            List<String> remainingHomes =
                    before.stream().filter(name -> !name.equals(removed)).toList();
            assertThat(homeEntries("entry-1", remainingEntries).of("hospitals"))
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
        HomeEntries homeEntries = homeEntries("entry-1", LARGE_FLEET);
        assertThat(homeEntries.holders()).hasSize(24);
        assertThat(IntStream.range(0, 200)).allSatisfy(number -> assertThat(homeEntries.holders())
                .containsAll(homeEntries.of("account-" + number)));
        assertThat(LARGE_FLEET)
                .allSatisfy(name ->
                        assertThat(homeEntries(name, LARGE_FLEET).holders()).isEqualTo(homeEntries.holders()));
    }

    @Test
    public void allEntriesAreHoldersWhereAllAreConnected() {
        assertThat(homeEntries("entry-1", FLEET).holders()).containsExactlyInAnyOrderElementsOf(FLEET);
    }

    @Test
    public void aHolderThatIsGoneIsReplacedByOneEntry() {
        HomeEntries homeEntries = homeEntries("entry-1", LARGE_FLEET);
        String removed = homeEntries.holders().iterator().next();
        List<String> remainingEntries =
                LARGE_FLEET.stream().filter(name -> !name.equals(removed)).toList();
        assertThat(homeEntries(remainingEntries.get(0), remainingEntries).holders())
                .hasSize(24)
                .doesNotContain(removed);
        assertThat(homeEntries(remainingEntries.get(0), remainingEntries).holders().stream()
                        .filter(homeEntries.holders()::contains)
                        .count())
                .isEqualTo(23);
    }

    private static HomeEntries homeEntries(String own, List<String> fleet) {
        HomeEntries homeEntries = new HomeEntries(own);
        homeEntries.updatePeers(fleet);
        return homeEntries;
    }
}
