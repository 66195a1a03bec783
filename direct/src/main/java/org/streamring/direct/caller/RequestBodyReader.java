package org.streamring.direct.caller;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpContentException;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Objects;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;
import org.streamring.direct.memory.BodyMemory;
import org.streamring.kernel.memory.BodyKind;
import org.streamring.kernel.memory.MemoryLimits;
import org.streamring.kernel.memory.MemoryRefusal;
import org.streamring.kernel.memory.MemoryReservation;
import org.streamring.model.route.CallerLimits;
import org.streamring.net.http.ContinueExpectedEvent;
import org.streamring.net.http.UnsupportedExpectationException;

/**
 * Collects the body of each request, up to the limit in force when the request begins, once there is memory for it. The
 * connection is not read while a body waits for memory, also if an earlier request is in progress on it.
 *
 * <p>A request that can't be read, or gets no memory, is passed on without its body and as failed, so that its refusal
 * follows the answers to the requests before it. What still arrives of its body is
 * discarded. Confined to the event loop.
 */
final class RequestBodyReader extends ChannelInboundHandlerAdapter {
    private static final byte[] NO_BYTES = {};
    private static final int INITIAL_CHUNKED_BYTES = 4_096;
    /** A body of unknown length is copied once when it is whole. */
    private static final int COPIES_OF_CHUNKED_BODY = 2;

    private final Supplier<CallerLimits> limits;
    private final BodyMemory memory;
    private final ReadGate gate;
    private final String requestIdHeader;
    private final LongSupplier clock;
    private @Nullable ChannelHandlerContext context;
    private @Nullable HttpRequest head;
    private byte[] body = NO_BYTES;
    private int length;
    private int maxBytes;
    private List<MemoryReservation> reservations = new ArrayList<>();
    private boolean continueExpected;

    RequestBodyReader(
            Supplier<CallerLimits> limits,
            BodyMemory memory,
            ReadGate gate,
            String requestIdHeader,
            LongSupplier clock) {
        this.limits = limits;
        this.memory = memory;
        this.gate = gate;
        this.requestIdHeader = requestIdHeader;
        this.clock = clock;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext added) {
        context = added;
    }

    @Override
    public void channelRead(ChannelHandlerContext reading, Object message) {
        try {
            if (message instanceof HttpRequest request) {
                begin(request);
            }
            if (message instanceof HttpContent content && head != null) {
                add(content);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    private void begin(HttpRequest request) {
        head = request;
        maxBytes = limits.get().maxBodyBytes();
        length = 0;
        body = NO_BYTES;
        if (request.decoderResult().isFailure()) {
            refuse(request.decoderResult().cause());
            return;
        }
        String expectation = request.headers().get(HttpHeaderNames.EXPECT);
        boolean expects = expectation != null && request.protocolVersion().compareTo(HttpVersion.HTTP_1_1) >= 0;
        if (expects && !HttpUtil.is100ContinueExpected(request)) {
            refuse(new UnsupportedExpectationException(expectation));
            return;
        }
        continueExpected = expects;
        reserveForHead(request);
    }

    private void reserveForHead(HttpRequest request) {
        boolean chunked = HttpUtil.isTransferEncodingChunked(request);
        long declared = chunked ? 0 : HttpUtil.getContentLength(request, 0L);
        if (declared > maxBytes) {
            refuse(new TooLongHttpContentException("the body exceeds " + maxBytes + " bytes"));
            return;
        }
        reserve(chunked ? MemoryLimits.SMALL_BYTES : declared);
    }

    private void reserve(long bytes) {
        HttpRequest reserved = Objects.requireNonNull(head);
        String id = Objects.requireNonNullElse(reserved.headers().get(requestIdHeader), "");
        MemoryReservation reservation = memory.reserve(BodyKind.REQUEST, bytes, id, new MemoryReservation.Holder() {
            @Override
            public void granted() {
                memoryGranted(reserved);
            }

            @Override
            public void refused(MemoryRefusal reason) {
                memoryRefused(reserved, reason);
            }
        });
        if (head != reserved) {
            return;
        }
        reservations.add(reservation);
        if (reservation.waiting()) {
            gate.close(Objects.requireNonNull(context).channel(), ReadGate.Reason.NO_MEMORY);
        } else {
            expectBody();
        }
    }

    private void memoryGranted(HttpRequest reserved) {
        if (head == reserved) {
            resumeReading();
            expectBody();
            Objects.requireNonNull(context).fireChannelReadComplete();
        }
    }

    private void memoryRefused(HttpRequest reserved, MemoryRefusal reason) {
        if (head == reserved) {
            refuse(new MemoryRefusedException(reason));
            resumeReading();
            Objects.requireNonNull(context).fireChannelReadComplete();
        }
    }

    private void resumeReading() {
        gate.open(Objects.requireNonNull(context).channel(), ReadGate.Reason.NO_MEMORY);
    }

    private void expectBody() {
        if (continueExpected) {
            continueExpected = false;
            Objects.requireNonNull(context).fireUserEventTriggered(ContinueExpectedEvent.INSTANCE);
        }
    }

    private void add(HttpContent content) {
        if (content.decoderResult().isFailure()) {
            refuse(content.decoderResult().cause());
            return;
        }
        ByteBuf bytes = content.content();
        if (bytes.readableBytes() > maxBytes - length) {
            refuse(new TooLongHttpContentException("the body exceeds " + maxBytes + " bytes"));
            return;
        }
        append(bytes);
        if (content instanceof LastHttpContent) {
            passOn();
        } else if (length > MemoryLimits.SMALL_BYTES && isOfUnknownLength() && reservations.size() == 1) {
            reserveForLongBody();
        }
    }

    /** The memory held so far is not waited for by others: it is as little as that of a small body. */
    private void reserveForLongBody() {
        reservations.get(0).wholeWith(MemoryLimits.SMALL_BYTES);
        reserve(Math.min((long) COPIES_OF_CHUNKED_BODY * maxBytes, memory.maxBytes(BodyKind.REQUEST)));
    }

    private boolean isOfUnknownLength() {
        return HttpUtil.isTransferEncodingChunked(Objects.requireNonNull(head));
    }

    private void append(ByteBuf bytes) {
        int added = bytes.readableBytes();
        if (added > body.length - length) {
            body = Arrays.copyOf(body, newCapacity(length + added));
        }
        bytes.readBytes(body, length, added);
        length += added;
        long now = clock.getAsLong();
        reservations.forEach(each -> each.arrived(added, now));
    }

    /** A body of known length is allocated whole once its memory is held; a part may arrive before that. */
    private int newCapacity(int needed) {
        if (reservations.stream().anyMatch(MemoryReservation::waiting)) {
            return needed;
        }
        if (!isOfUnknownLength()) {
            return (int) HttpUtil.getContentLength(Objects.requireNonNull(head), needed);
        }
        int doubled = (int) Math.min(maxBytes, 2L * body.length);
        return Math.max(Math.max(needed, doubled), Math.min(maxBytes, INITIAL_CHUNKED_BYTES));
    }

    private void passOn() {
        byte[] whole = length == body.length ? body : Arrays.copyOf(body, length);
        long now = clock.getAsLong();
        long waitedMillis =
                reservations.stream().mapToLong(each -> each.waitedMillis(now)).sum();
        keepOnly(whole.length);
        resumeReading();
        ArrivedRequest arrived =
                new ArrivedRequest(Objects.requireNonNull(head), whole, waitedMillis, List.copyOf(reservations));
        forget();
        Objects.requireNonNull(context).fireChannelRead(arrived);
    }

    /** Keeps as much memory as the body needs: the first reservation, if it is enough, or else the last one. */
    private void keepOnly(int bytes) {
        boolean one = reservations.size() == 1;
        for (int i = 0; i < reservations.size(); i++) {
            boolean kept = one || i > 0;
            if (kept && reservations.get(i).held()) {
                reservations.get(i).wholeWith(bytes);
            } else {
                reservations.get(i).release();
            }
        }
    }

    private void refuse(Throwable cause) {
        HttpRequest refused = Objects.requireNonNull(head);
        refused.setDecoderResult(DecoderResult.failure(cause));
        reservations.forEach(MemoryReservation::release);
        forget();
        Objects.requireNonNull(context).fireChannelRead(new ArrivedRequest(refused, NO_BYTES, 0, List.of()));
    }

    private void forget() {
        head = null;
        body = NO_BYTES;
        length = 0;
        reservations = new ArrayList<>();
    }

    @Override
    public void channelInactive(ChannelHandlerContext inactive) throws Exception {
        List<MemoryReservation> unused = reservations;
        forget();
        unused.forEach(MemoryReservation::release);
        super.channelInactive(inactive);
    }
}
