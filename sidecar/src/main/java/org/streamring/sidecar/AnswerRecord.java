package org.streamring.sidecar;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.List;
import org.streamring.net.generated.Wire.Begin;
import org.streamring.net.generated.Wire.Chunk;
import org.streamring.net.generated.Wire.End;
import org.streamring.net.generated.Wire.Frame;
import org.streamring.net.peer.PeerConnection;

/**
 * The answer to one attempt, running or kept, and those to whom it is delivered. One who comes late gets what went
 * before first. Guarded by itself; the lock is a leaf.
 */
final class AnswerRecord {
    private final List<Subscriber> subscribers = new ArrayList<>();
    private final List<Frame> frames = new ArrayList<>();
    private final boolean keep;
    private long bytes;

    /**
     * One to whom the answer is delivered.
     *
     * @param connection connection to the entry
     * @param attempt the entry's attempt, under which frames are addressed
     * @param owner whether this attempt pays
     */
    record Subscriber(PeerConnection connection, String attempt, boolean owner) {}

    AnswerRecord(boolean keep) {
        this.keep = keep;
    }

    synchronized void subscribe(Subscriber subscriber) {
        frames.forEach(frame -> subscriber.connection().send(addressed(frame, subscriber)));
        subscribers.add(subscriber);
    }

    /** Delivers a frame to all, and keeps it if it may be asked for again. */
    synchronized void deliver(Frame frame) {
        if (keep) {
            frames.add(frame);
            bytes += frame.getSerializedSize();
        }
        subscribers.forEach(subscriber -> subscriber.connection().send(addressed(frame, subscriber)));
    }

    synchronized long bytes() {
        return bytes;
    }

    /** Removes those of a closed connection; returns whether nobody is left. */
    synchronized boolean unsubscribe(PeerConnection connection) {
        boolean removed = subscribers.removeIf(subscriber -> subscriber.connection() == connection);
        return removed && subscribers.isEmpty();
    }

    /** Removes one attempt; returns whether nobody is left. */
    synchronized boolean unsubscribe(String attempt) {
        boolean removed =
                subscribers.removeIf(subscriber -> subscriber.attempt().equals(attempt));
        return removed && subscribers.isEmpty();
    }

    static Frame begin(Begin.Builder begin) {
        return Frame.newBuilder().setBegin(begin).build();
    }

    static Frame chunk(byte[] data) {
        return Frame.newBuilder()
                .setChunk(Chunk.newBuilder().setData(ByteString.copyFrom(data)))
                .build();
    }

    static Frame end(End.Builder end) {
        return Frame.newBuilder().setEnd(end).build();
    }

    private static Frame addressed(Frame frame, Subscriber subscriber) {
        Frame.Builder builder = frame.toBuilder();
        switch (frame.getBodyCase()) {
            case BEGIN -> builder.getBeginBuilder().setAttempt(subscriber.attempt());
            case CHUNK -> builder.getChunkBuilder().setAttempt(subscriber.attempt());
            case END ->
                builder.getEndBuilder()
                        .setAttempt(subscriber.attempt())
                        .setBilled(subscriber.owner() && frame.getEnd().getBilled());
            default -> throw new IllegalArgumentException("not part of an answer: " + frame.getBodyCase());
        }
        return builder.build();
    }
}
