package org.streamring.entry.peer;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.protobuf.ByteString;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.netty.channel.nio.NioEventLoopGroup;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.awaitility.Awaitility;
import org.streamring.kernel.routing.ReplicaTable;
import org.streamring.model.box.BackendServer;
import org.streamring.net.generated.Wire.Begin;
import org.streamring.net.generated.Wire.Chunk;
import org.streamring.net.generated.Wire.End;
import org.streamring.net.generated.Wire.Frame;
import org.streamring.net.generated.Wire.Refused;
import org.streamring.net.generated.Wire.Submit;
import org.streamring.net.peer.DisconnectReason;
import org.streamring.net.peer.FleetKey;
import org.streamring.net.peer.PeerConnection;
import org.streamring.net.peer.PeerIdentity;
import org.streamring.net.peer.PeerListener;
import org.streamring.net.peer.PeerServer;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests what becomes of attempts at a sidecar that leaves the subset of an entry. */
public class SidecarLinksTest {
    private static final FleetKey KEY = new FleetKey("the-right-fleet-key");
    private static final PeerIdentity ENTRY = new PeerIdentity(PeerIdentity.Role.ENTRY, "entry-1", "entry-1~a");
    private static final PeerIdentity SIDECAR = new PeerIdentity(PeerIdentity.Role.SIDECAR, "s-1", "s-1~a");

    private final BlockingQueue<PeerConnection> toEntry = new LinkedBlockingQueue<>();
    private final BlockingQueue<Frame> receivedBySidecar = new LinkedBlockingQueue<>();
    private final BlockingQueue<DisconnectReason> disconnected = new LinkedBlockingQueue<>();
    private final List<String> events = new CopyOnWriteArrayList<>();
    private NioEventLoopGroup loops;
    private PeerServer sidecar;
    private SidecarLinks links;
    private BackendServer server;

    @BeforeMethod
    public void connect() throws Exception {
        toEntry.clear();
        receivedBySidecar.clear();
        disconnected.clear();
        events.clear();
        loops = new NioEventLoopGroup(1);
        sidecar = new PeerServer(
                loops, new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), KEY, SIDECAR, new SidecarSide());
        server = new BackendServer("s-1", "assist", "hall", "127.0.0.1", sidecar.port(), false);
        links = new SidecarLinks(loops, KEY, ENTRY, new ReplicaTable(), new SimpleMeterRegistry());
        links.updateSubset(List.of(server));
        Awaitility.await().until(() -> links.hasConnection("s-1"));
    }

    @AfterMethod(alwaysRun = true)
    public void stop() {
        links.close();
        sidecar.close();
        loops.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
    }

    @Test
    public void anAttemptInProgressIsNotLostWhenItsSidecarLeavesTheSubset() throws Exception {
        PeerConnection connection = submit("a-1");
        links.updateSubset(List.of());
        assertThat(links.hasConnection("s-1")).isFalse();
        assertThat(links.submit("s-1", submitOf("a-2"), new Attempt())).isFalse();
        finish(connection, "a-1");
        Awaitility.await().untilAsserted(() -> assertThat(events).containsExactly("chunk", "ended"));
        assertThat(disconnected.poll(5, TimeUnit.SECONDS)).isNotNull();
        assertThat(links.openAttempts()).isZero();
    }

    @Test
    public void anAttemptInProgressIsNotLostWhenItsSidecarIsListedAtAnotherAddress() throws Exception {
        PeerConnection connection = submit("a-1");
        try (OtherAddress other = new OtherAddress()) {
            links.updateSubset(List.of(other.server));
            Awaitility.await().until(() -> links.hasConnection("s-1"));
            finish(connection, "a-1");
            Awaitility.await().untilAsserted(() -> assertThat(events).containsExactly("chunk", "ended"));
            assertThat(links.hasConnection("s-1")).isTrue();
        }
    }

    @Test
    public void anUnusedConnectionIsClosedWhenItsSidecarLeavesTheSubset() throws Exception {
        links.updateSubset(List.of());
        assertThat(disconnected.poll(5, TimeUnit.SECONDS)).isNotNull();
        Awaitility.await().during(Duration.ofMillis(500)).until(() -> !links.hasConnection("s-1"));
    }

    @Test
    public void anAttemptIsLostWhenItsSidecarEndsAfterItHasLeftTheSubset() throws Exception {
        PeerConnection connection = submit("a-1");
        links.updateSubset(List.of());
        connection.close();
        Awaitility.await().untilAsserted(() -> assertThat(events).containsExactly("lost"));
        assertThat(links.openAttempts()).isZero();
    }

    private PeerConnection submit(String attempt) throws InterruptedException {
        assertThat(links.submit("s-1", submitOf(attempt), new Attempt())).isTrue();
        PeerConnection connection = toEntry.poll(5, TimeUnit.SECONDS);
        assertThat(receivedBySidecar.poll(5, TimeUnit.SECONDS)).matches(Frame::hasSubmit);
        return connection;
    }

    private static Submit submitOf(String attempt) {
        return Submit.newBuilder()
                .setAttempt(attempt)
                .setSidecarIncarnation(SIDECAR.incarnation())
                .build();
    }

    private static void finish(PeerConnection connection, String attempt) {
        connection.send(Frame.newBuilder()
                .setChunk(Chunk.newBuilder().setAttempt(attempt).setData(ByteString.copyFromUtf8("x")))
                .build());
        connection.send(Frame.newBuilder()
                .setEnd(End.newBuilder().setAttempt(attempt).setComplete(true))
                .build());
    }

    /** The same sidecar at another port. */
    private final class OtherAddress implements AutoCloseable {
        private final PeerServer listening;
        private final BackendServer server;

        private OtherAddress() throws Exception {
            listening = new PeerServer(
                    loops, new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), KEY, SIDECAR, new SidecarSide());
            server = new BackendServer("s-1", "assist", "hall", "127.0.0.1", listening.port(), false);
        }

        @Override
        public void close() {
            listening.close();
        }
    }

    private final class SidecarSide implements PeerListener {
        @Override
        public void connected(PeerConnection connection) {
            toEntry.add(connection);
        }

        @Override
        public void received(PeerConnection connection, Frame frame) {
            receivedBySidecar.add(frame);
        }

        @Override
        public void disconnected(PeerConnection connection, DisconnectReason reason) {
            disconnected.add(reason);
        }
    }

    private final class Attempt implements AttemptListener {
        @Override
        public void begun(Begin begin) {
            events.add("begun");
        }

        @Override
        public void chunk(Chunk chunk) {
            events.add("chunk");
        }

        @Override
        public void ended(End end) {
            events.add("ended");
        }

        @Override
        public void refused(Refused refused) {
            events.add("refused");
        }

        @Override
        public boolean secureRetry() {
            return false;
        }

        @Override
        public void lost() {
            events.add("lost");
        }
    }
}
