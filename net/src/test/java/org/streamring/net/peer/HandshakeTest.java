package org.streamring.net.peer;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.nio.NioEventLoopGroup;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.streamring.net.generated.Wire.Frame;
import org.streamring.net.generated.Wire.Heartbeat;
import org.streamring.net.generated.Wire.Hello;
import org.streamring.net.generated.Wire.Ping;
import org.streamring.net.generated.Wire.Proof;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class HandshakeTest {
    private static final PeerIdentity ENTRY = new PeerIdentity(PeerIdentity.Role.ENTRY, "entry-1", "entry-1~a");
    private static final PeerIdentity SIDECAR = new PeerIdentity(PeerIdentity.Role.SIDECAR, "s-1", "s-1~a");

    private NioEventLoopGroup loops;
    private PeerServer server;
    private RecordingListener accepted;

    private static final class RecordingListener implements PeerListener {
        private final BlockingQueue<String> events = new LinkedBlockingQueue<>();

        @Override
        public void connected(PeerConnection connection) {
            events.add("connected " + connection.remote().incarnation());
        }

        @Override
        public void received(PeerConnection connection, Frame frame) {
            events.add("received " + frame.getBodyCase());
        }

        @Override
        public void disconnected(PeerConnection connection, DisconnectReason reason) {
            events.add("disconnected " + reason);
        }

        private String next() throws InterruptedException {
            return String.valueOf(events.poll(20, TimeUnit.SECONDS));
        }
    }

    @BeforeMethod
    public void listen() throws PeerException {
        loops = new NioEventLoopGroup(1);
        accepted = new RecordingListener();
        server = new PeerServer(
                loops,
                new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                new FleetKey("the-right-fleet-key"),
                SIDECAR,
                accepted);
    }

    @AfterMethod(alwaysRun = true)
    public void stop() {
        loops.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
    }

    private PeerConnector connector(String key, PeerListener listener) {
        return new PeerConnector(
                loops,
                new InetSocketAddress(InetAddress.getLoopbackAddress(), server.port()),
                new FleetKey(key),
                ENTRY,
                listener);
    }

    @Test
    public void bothSidesReceiveTheIdentityOfTheOther() throws Exception {
        RecordingListener connecting = new RecordingListener();
        connector("the-right-fleet-key", connecting).start();
        assertThat(connecting.next()).isEqualTo("connected s-1~a");
        assertThat(accepted.next()).isEqualTo("connected entry-1~a");
    }

    @Test
    public void aPeerWithAnotherKeyIsRejected() throws Exception {
        RecordingListener connecting = new RecordingListener();
        PeerConnector connector = connector("another-fleet-key!", connecting);
        connector.start();
        assertThat(connecting.events.poll(1, TimeUnit.SECONDS)).isNull();
        assertThat(accepted.events).isEmpty();
        connector.stop();
    }

    @Test
    public void framesSentTogetherWithTheProofAreDelivered() throws Exception {
        Frame ping = Frame.newBuilder().setPing(Ping.newBuilder()).build();
        try (Socket socket = connectWithSocket(0, List.of(ping, ping))) {

            assertThat(accepted.next()).isEqualTo("connected entry-1~a");
            assertThat(accepted.next()).isEqualTo("received PING");
            assertThat(accepted.next()).isEqualTo("received PING");
        }
    }

    @Test
    public void aPeerThatStopsSendingAnnouncedHeartbeatsIsDisconnected() throws Exception {
        try (Socket socket = connectWithSocket(100, List.of())) {
            assertThat(accepted.next()).isEqualTo("connected entry-1~a");
            assertThat(accepted.next()).isEqualTo("disconnected SILENT");
        }
    }

    @Test
    public void aPeerThatAnnouncesNoHeartbeatsMayBeIdle() throws Exception {
        try (Socket socket = connectWithSocket(0, List.of())) {
            assertThat(accepted.next()).isEqualTo("connected entry-1~a");
            assertThat(accepted.events.poll(3, TimeUnit.SECONDS)).isNull();
        }
    }

    @Test
    public void heartbeatsAreSentAndNotPassedToTheListener() throws Exception {
        Frame heartbeat =
                Frame.newBuilder().setHeartbeat(Heartbeat.newBuilder()).build();
        try (Socket socket = connectWithSocket(10_000, List.of(heartbeat))) {
            assertThat(accepted.next()).isEqualTo("connected entry-1~a");
            DataInputStream in = new DataInputStream(socket.getInputStream());
            assertThat(Frame.parseFrom(in.readNBytes(in.readInt())).hasHeartbeat())
                    .isTrue();
            assertThat(accepted.events).isEmpty();
        }
    }

    /** Opens a socket, announces the heartbeat interval, authenticates and sends the frames together with the proof. */
    private Socket connectWithSocket(int heartbeatMillis, List<Frame> afterProof) throws IOException {
        Hello own = Hello.newBuilder()
                .setRole("ENTRY")
                .setName("entry-1")
                .setIncarnation("entry-1~a")
                .setNonce(FleetKey.nonce())
                .setHeartbeatMillis(heartbeatMillis)
                .build();
        Socket socket = new Socket(InetAddress.getLoopbackAddress(), server.port());
        socket.setSoTimeout(20_000);
        socket.getOutputStream()
                .write(bytes(List.of(Frame.newBuilder().setHello(own).build())));
        DataInputStream in = new DataInputStream(socket.getInputStream());
        Hello other = Frame.parseFrom(in.readNBytes(in.readInt())).getHello();
        Proof proof = Proof.newBuilder()
                .setProof(new FleetKey("the-right-fleet-key").proof(FleetKey.Side.CONNECTING, own, other))
                .build();
        List<Frame> frames = new ArrayList<>(afterProof);
        frames.add(0, Frame.newBuilder().setProof(proof).build());
        socket.getOutputStream().write(bytes(frames));
        return socket;
    }

    private static byte[] bytes(List<Frame> frames) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        DataOutputStream out = new DataOutputStream(bytes);
        for (Frame frame : frames) {
            out.writeInt(frame.getSerializedSize());
            frame.writeTo(out);
        }
        return bytes.toByteArray();
    }

    @DataProvider
    public Object[][] unauthenticatedFrames() {
        Frame ping = Frame.newBuilder().setPing(Ping.newBuilder()).build();
        Frame hello = Frame.newBuilder()
                .setHello(org.streamring.net.generated.Wire.Hello.newBuilder().setRole("ENTRY"))
                .build();
        Frame proof = Frame.newBuilder()
                .setProof(org.streamring.net.generated.Wire.Proof.newBuilder())
                .build();
        return new Object[][] {
            {"no handshake", List.of(ping)},
            {"empty proof", List.of(hello, proof)},
            {"frame in place of a proof", List.of(hello, ping)},
            {"hello twice", List.of(hello, hello, ping)},
        };
    }

    @Test(dataProvider = "unauthenticatedFrames")
    public void framesBeforeAuthenticationAreNotDelivered(String name, List<Frame> frames) throws Exception {
        assertClosedAfter(bytes(frames));
        assertThat(accepted.events).as(name).isEmpty();
    }

    @Test
    public void anOversizedFrameBeforeAuthenticationClosesTheConnection() throws Exception {
        assertClosedAfter(new byte[] {0x7f, 0, 0, 0, 1, 2, 3});
        assertThat(accepted.events).isEmpty();
    }

    /** Sends the bytes and reads until the server closes. The server may answer first; an open connection times out. */
    private void assertClosedAfter(byte[] sent) throws java.io.IOException {
        try (java.net.Socket socket = new java.net.Socket(InetAddress.getLoopbackAddress(), server.port())) {
            socket.setSoTimeout(20_000);
            socket.getOutputStream().write(sent);
            byte[] response = socket.getInputStream().readAllBytes();
            assertThat(response).as("at most the response to a hello").hasSizeLessThan(200);
        } catch (java.net.SocketException closedWhileSending) {
            assertThat(closedWhileSending).isNotInstanceOf(java.net.ConnectException.class);
        }
    }
}
