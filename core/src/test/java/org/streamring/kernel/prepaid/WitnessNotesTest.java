package org.streamring.kernel.prepaid;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class WitnessNotesTest {
    private WitnessNotes notes;

    @BeforeMethod
    public void setUp() {
        notes = new WitnessNotes();
    }

    @Test
    public void theLargestNoteIsTold() {
        notes.note("entry-1.a", Map.of("portal", 5_000L));
        notes.note("entry-1.a", Map.of("portal", 3_000L));
        assertThat(notes.close("entry-1.a")).containsEntry("portal", 5_000L);
    }

    @Test
    public void afterASuccessorAskedNothingMoreIsNoted() {
        assertThat(notes.close("entry-1.a")).isEmpty();
        assertThat(notes.note("entry-1.a", Map.of("portal", 5_000L))).isFalse();
        assertThat(notes.close("entry-1.a")).isEmpty();
    }
}
