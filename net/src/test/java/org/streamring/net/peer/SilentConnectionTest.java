package org.streamring.net.peer;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.timeout.IdleStateEvent;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.streamring.net.generated.Wire.Frame;
import org.streamring.net.generated.Wire.Ping;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests when a connection between processes on which no frame arrives is closed. */
public class SilentConnectionTest {
    private static final FleetKey KEY = new FleetKey("the-right-fleet-key");
    private static final PeerIdentity ENTRY = new PeerIdentity(PeerIdentity.Role.ENTRY, "entry-1", "entry-1~a");
    private static final PeerIdentity SIDECAR = new PeerIdentity(PeerIdentity.Role.SIDECAR, "s-1", "s-1~a");

    private final BlockingQueue<PeerConnection> connected = new LinkedBlockingQueue<>();
    private final BlockingQueue<DisconnectReason> disconnected = new LinkedBlockingQueue<>();
    private NioEventLoopGroup sidecarLoop;
    private NioEventLoopGroup entryLoop;
    private Channel accepted;
    private PeerConnection toEntry;
    private PeerConnection toSidecar;
    private PeerConnector connector;
    private volatile boolean closesSilent;

    private class Listener implements PeerListener {
        @Override
        public void connected(PeerConnection connection) {
            connected.add(connection);
        }

        @Override
        public void received(PeerConnection connection, Frame frame) {
            // the tests send frames only to be heard
        }

        @Override
        public void disconnected(PeerConnection connection, DisconnectReason reason) {
            // only the events of the accepting side are checked
        }
    }

    private final class AcceptingListener extends Listener {
        @Override
        public boolean closesSilent(PeerConnection connection) {
            return closesSilent;
        }

        @Override
        public void disconnected(PeerConnection connection, DisconnectReason reason) {
            disconnected.add(reason);
        }
    }

    @BeforeMethod
    public void connect() throws Exception {
        connected.clear();
        disconnected.clear();
        closesSilent = true;
        sidecarLoop = new NioEventLoopGroup(1);
        entryLoop = new NioEventLoopGroup(1);
        Channel listening = new ServerBootstrap()
                .group(sidecarLoop)
                .channel(NioServerSocketChannel.class)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        accepted = channel;
                        FrameCodec.install(
                                channel,
                                new HandshakeHandler(FleetKey.Side.ACCEPTING, KEY, SIDECAR, new AcceptingListener()));
                    }
                })
                .bind(InetAddress.getLoopbackAddress(), 0)
                .sync()
                .channel();
        connector =
                new PeerConnector(entryLoop, (InetSocketAddress) listening.localAddress(), KEY, ENTRY, new Listener());
        connector.start();
        for (int i = 0; i < 2; i++) {
            PeerConnection each = connected.poll(10, TimeUnit.SECONDS);
            if (each.remote().equals(ENTRY)) {
                toEntry = each;
            } else {
                toSidecar = each;
            }
        }
    }

    @AfterMethod(alwaysRun = true)
    public void stop() {
        connector.stop();
        entryLoop.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
        sidecarLoop.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
    }

    @Test
    public void framesThatLieUnreadWhileTheProcessIsLateAreNoSilence() throws Exception {
        sidecarLoop
                .next()
                .submit(() -> {
                    assertThat(toSidecar.send(Frame.newBuilder()
                                    .setPing(Ping.newBuilder())
                                    .build()))
                            .isTrue();
                    Thread.sleep(100);
                    accepted.pipeline().fireUserEventTriggered(IdleStateEvent.FIRST_READER_IDLE_STATE_EVENT);
                    return true;
                })
                .get(10, TimeUnit.SECONDS);
        assertThat(disconnected.poll(300, TimeUnit.MILLISECONDS)).isNull();
    }

    @Test
    public void aConnectionOnWhichNothingArrivesIsClosed() throws Exception {
        assertThat(reasonAfterPause(10_000, 5)).isEqualTo(DisconnectReason.SILENT);
    }

    @Test
    public void aConnectionThatIsInUseOutlastsASilence() throws Exception {
        closesSilent = false;
        assertThat(reasonAfterPause(3_000, 4)).isNull();
        assertThat(toEntry.send(Frame.newBuilder().setPing(Ping.newBuilder()).build()))
                .isTrue();
    }

    @Test
    public void aConnectionThatIsInUseIsClosedAfterALongSilence() throws Exception {
        closesSilent = false;
        assertThat(reasonAfterPause(15_000, 12)).isEqualTo(DisconnectReason.SILENT);
    }

    /** Pauses the connecting process, and returns why the accepting one ended the connection; null if it did not. */
    private DisconnectReason reasonAfterPause(long pauseMillis, int waitSeconds) throws Exception {
        CountDownLatch resumed = new CountDownLatch(1);
        entryLoop.next().submit(() -> resumed.await(pauseMillis, TimeUnit.MILLISECONDS));
        DisconnectReason reason = disconnected.poll(waitSeconds, TimeUnit.SECONDS);
        resumed.countDown();
        return reason;
    }
}
