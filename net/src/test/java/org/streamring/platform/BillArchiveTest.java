package org.streamring.platform;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.TreeMap;
import org.streamring.kernel.ledger.BillItem;
import org.streamring.kernel.table.ObjectStore;
import org.streamring.kernel.table.PlatformException;
import org.testng.annotations.Test;

public class BillArchiveTest {
    private final BillArchive archive = new BillArchive(new MemoryObjects());

    private static final class MemoryObjects implements ObjectStore {
        private final TreeMap<String, byte[]> objects = new TreeMap<>();

        @Override
        public void put(String name, byte[] content) {
            objects.put(name, content);
        }

        @Override
        public Optional<byte[]> get(String name) {
            return Optional.ofNullable(objects.get(name));
        }

        @Override
        public List<String> list(String prefix) {
            return objects.keySet().stream()
                    .filter(name -> name.startsWith(prefix))
                    .toList();
        }
    }

    private static BillItem item(String attempt) {
        return new BillItem(attempt, "acc/r", "acc", "budget", "entry~1/1", "llm", "s~1", 1, 2, 3, 0);
    }

    @Test
    public void anItemInTwoBatchesCountsOnce() throws PlatformException {
        archive.writeSettled("entry~1", 4, List.of(item("a1"), item("a2")));
        archive.writeSettled("entry~1", 5, List.of(item("a2")));
        assertThat(archive.items()).hasSize(2);
    }

    @Test
    public void batchesAfterTheLastCommittedTransactionOfAClosedIncarnationAreVoid() throws PlatformException {
        archive.writeSettled("entry~1", 4, List.of(item("a1")));
        archive.writeSettled("entry~1", 5, List.of(item("a2")));
        assertThat(archive.voidUncommitted("entry~1", 4)).containsExactly(item("a2"));
        assertThat(archive.items()).containsExactly(item("a1"));
        archive.writeForClosedIncarnation("entry~1", "entry~2", "entry~1/1", List.of(item("a2")));
        assertThat(archive.items()).containsExactlyInAnyOrder(item("a1"), item("a2"));
    }

    @Test
    public void aBatchWrittenLateByAClosedIncarnationIsVoid() throws PlatformException {
        archive.voidUncommitted("entry~1", 4);
        archive.writeSettled("entry~1", 5, List.of(item("a2")));
        assertThat(archive.items()).isEmpty();
    }

    @Test
    public void attemptsOfALeaseAreFound() throws PlatformException {
        archive.writeSettled("entry~1", 4, List.of(item("a1")));
        assertThat(archive.billedAttempts("entry~1", "entry~1/1")).containsExactly("a1");
        assertThat(archive.billedAttempts("entry~1", "entry~1/2")).isEmpty();
    }
}
