package org.streamring.kernel.stream;

import static org.assertj.core.api.Assertions.assertThat;

import org.testng.annotations.Test;

public class StreamOriginTableTest {
    private static final StreamOrigin OLD = new StreamOrigin("assist", "v1", "hotel");
    private static final StreamOrigin NEW = new StreamOrigin("assist", "v2", "hotel");

    private final StreamOriginTable table = new StreamOriginTable(2);

    @Test
    public void anOriginIsKnownUntilItsCallerHasGivenUp() {
        StreamOriginTable empty = new StreamOriginTable(2);
        empty.record("s-1", OLD, 100, 1_000);
        assertThat(empty.find("s-1", 1_099).orElseThrow().origin()).isEqualTo(OLD);
        assertThat(empty.find("s-1", 1_100)).isEmpty();
        empty.expire(1_100);
        assertThat(empty.size()).isZero();
    }

    @Test
    public void theFirstOriginOfAStreamRemainsInEffect() {
        StreamOriginTable empty = new StreamOriginTable(2);
        empty.record("s-1", OLD, 100, 0);
        empty.record("s-1", NEW, 100, 10);
        assertThat(empty.find("s-1", 20).orElseThrow().origin()).isEqualTo(OLD);
    }

    @Test
    public void aStreamWithoutIdentifierOrWithAnOverlongOneIsNotRecorded() {
        StreamOriginTable empty = new StreamOriginTable(2);
        String overlong = "s".repeat(StreamOriginTable.MAX_IDENTIFIER_LENGTH + 1);
        assertThat(empty.record("", OLD, 100, 0)).isFalse();
        assertThat(empty.record(overlong, OLD, 100, 0)).isFalse();
        assertThat(empty.find("", 1)).isEmpty();
        assertThat(empty.size()).isZero();
    }

    @Test
    public void theStreamsOfAVersionAreCounted() {
        StreamOriginTable empty = new StreamOriginTable(3);
        empty.record("s-1", OLD, 100, 0);
        empty.record("s-2", OLD, 100, 0);
        empty.record("s-3", NEW, 100, 0);
        assertThat(empty.count("assist", "v1")).isEqualTo(2);
        assertThat(empty.count("other", "v1")).isZero();
    }

    @Test
    public void theOldestOriginIsDroppedAndCountedWhenTheTableIsFull() {
        table.record("s-1", OLD, 100, 0);
        table.record("s-2", OLD, 100, 1);
        table.record("s-2", OLD, 100, 2);
        assertThat(table.dropped()).isZero();
        table.record("s-3", NEW, 100, 3);
        assertThat(table.dropped()).isEqualTo(1);
        assertThat(table.size()).isEqualTo(2);
        assertThat(table.find("s-1", 4)).isEmpty();
        assertThat(table.find("s-3", 4).orElseThrow().origin()).isEqualTo(NEW);
    }
}
