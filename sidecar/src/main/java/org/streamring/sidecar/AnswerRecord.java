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
 * The answer to one attempt, which may still be running, and its subscribers. If the answer is retained, a new
 * subscriber first receives all earlier frames. Guarded by its own monitor, which is a leaf lock: no other lock of the
 * sidecar is acquired while it is held.
 */
final class AnswerRecord {
    private final List<Subscriber> subscribers = new ArrayList<>();
    private final List<Frame> frames = new ArrayList<>();
    private final boolean retain;
    private long retainedBytes;

    /**
     * A recipient of the answer.
     *
     * @param connection connection to the entry
     * @param attempt the entry's identifier of the attempt, set in each frame
     * @param owner whether this attempt is billed
     */
    record Subscriber(PeerConnection connection, String attempt, boolean owner) {}

    AnswerRecord(boolean retain) {
        this.retain = retain;
    }

    synchronized void subscribe(Subscriber subscriber) {
        frames.forEach(frame -> subscriber.connection().send(addressed(frame, subscriber)));
        subscribers.add(subscriber);
    }

    /** Sends a frame to all subscribers, and stores it if the answer is retained. */
    synchronized void deliver(Frame frame) {
        if (retain) {
            frames.add(frame);
            retainedBytes += frame.getSerializedSize();
        }
        subscribers.forEach(subscriber -> subscriber.connection().send(addressed(frame, subscriber)));
    }

    synchronized long retainedBytes() {
        return retainedBytes;
    }

    synchronized boolean isSubscribed(PeerConnection connection) {
        return subscribers.stream().anyMatch(subscriber -> subscriber.connection() == connection);
    }

    /** Removes the subscribers of a closed connection. Returns true if any was removed and none is left. */
    synchronized boolean unsubscribe(PeerConnection connection) {
        boolean removed = subscribers.removeIf(subscriber -> subscriber.connection() == connection);
        return removed && subscribers.isEmpty();
    }

    /** Removes the subscriber of an attempt. Returns true if it was removed and none is left. */
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
            default -> throw new IllegalArgumentException("frame is not part of an answer: " + frame.getBodyCase());
        }
        return builder.build();
    }
}
