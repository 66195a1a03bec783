package org.streamring.net.http;

import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.List;

/** A complete body, kept in segments so that neither growing nor writing it copies the whole. */
public final class Body {
    private static final int SEGMENT_BYTES = 65_536;

    private final List<byte[]> segments;

    private Body(List<byte[]> segments) {
        this.segments = segments;
    }

    /** Returns a body of one segment, which is not copied. */
    public static Body of(byte[] bytes) {
        return new Body(List.of(bytes));
    }

    List<byte[]> segments() {
        return segments;
    }

    /** Returns the length in bytes. */
    public long length() {
        return segments.stream().mapToLong(each -> each.length).sum();
    }

    /** Returns a copy of all bytes. */
    public byte[] toByteArray() {
        ByteArrayOutputStream all = new ByteArrayOutputStream((int) length());
        segments.forEach(all::writeBytes);
        return all.toByteArray();
    }

    /** Collects a body of unknown length. */
    public static final class Builder {
        private final List<byte[]> whole = new ArrayList<>();
        private final ByteArrayOutputStream last = new ByteArrayOutputStream();
        private long length;

        /** Appends bytes. */
        public void add(byte[] bytes) {
            length += bytes.length;
            last.writeBytes(bytes);
            if (last.size() >= SEGMENT_BYTES) {
                endSegment();
            }
        }

        /** Returns the length in bytes so far. */
        public long length() {
            return length;
        }

        /** Returns the body, to which nothing may be appended afterwards. */
        public Body build() {
            if (last.size() > 0) {
                endSegment();
            }
            return new Body(List.copyOf(whole));
        }

        private void endSegment() {
            whole.add(last.toByteArray());
            last.reset();
        }
    }
}
