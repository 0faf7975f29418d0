package loadbalancer.testbed;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;

/**
 * A network path over loopback between clients and one UDP server, whose faults a {@link RelayScript} decides on.
 * Each client has an address of its own towards the server, which {@link #rebind} changes, as a NAT does. Runs on
 * one event loop; its methods may be called from any thread.
 */
public final class UdpRelay implements AutoCloseable {
    /** Which direction of the path loses everything. */
    public enum Hole {
        NONE,
        TO_SERVER,
        TO_CLIENT
    }

    private static final int CLOSE_MILLIS = 2_000;

    private final AtomicBoolean closed = new AtomicBoolean();
    private final EventLoop loop;
    private final InetSocketAddress server;
    private final RelayScript script;
    private final Map<InetSocketAddress, Client> clients = new HashMap<>();
    private Channel front;
    private Hole hole = Hole.NONE;
    private long relayed;
    private long rebinds;

    /** A relay to that server, which is not open yet. */
    public UdpRelay(EventLoop loop, InetSocketAddress server, RelayScript script) {
        this.loop = loop;
        this.server = server;
        this.script = script;
    }

    /** Listens, and returns the address for clients. Blocks; not for the event loop's thread. */
    public InetSocketAddress open() throws InterruptedException {
        front = bind(new SimpleChannelInboundHandler<DatagramPacket>() {
                    @Override
                    protected void channelRead0(ChannelHandlerContext context, DatagramPacket packet) {
                        Client client = clients.computeIfAbsent(packet.sender(), Client::new);
                        if (hole != Hole.TO_SERVER) {
                            pass(packet.content(), copy -> client.send(copy));
                        }
                    }
                })
                .sync()
                .channel();
        return (InetSocketAddress) front.localAddress();
    }

    private io.netty.channel.ChannelFuture bind(SimpleChannelInboundHandler<DatagramPacket> handler) {
        return new Bootstrap()
                .group(loop)
                .channel(NioDatagramChannel.class)
                .handler(handler)
                .bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
    }

    private void pass(ByteBuf content, Consumer<ByteBuf> forward) {
        relayed++;
        RelayScript.Fate fate = script.next(content.readableBytes());
        for (int i = 0; i < fate.copies(); i++) {
            ByteBuf copy = content.copy();
            if (fate.flip() >= 0) {
                int index = fate.flip() / Byte.SIZE;
                copy.setByte(index, copy.getByte(index) ^ (1 << (fate.flip() % Byte.SIZE)));
            }
            if (fate.delay() > 0) {
                loop.schedule(() -> forward.accept(copy), fate.delay(), TimeUnit.MICROSECONDS);
            } else {
                forward.accept(copy);
            }
        }
    }

    /** Every client has another port from here on; what is sent to its former one is lost. */
    public void rebind() {
        loop.execute(() -> clients.values().forEach(Client::rebind));
    }

    /** Sets the direction that loses everything, for all datagrams once this returns. Not for the loop's thread. */
    public void hole(Hole where) {
        loop.submit(() -> hole = where).syncUninterruptibly();
    }

    /** Replaces the faults from here on. */
    public void faults(RelayScript.Faults faults) {
        loop.execute(() -> script.set(faults));
    }

    /** The numbers of datagrams received and of ports changed. */
    public long[] counts() {
        return loop.submit(() -> new long[] {relayed, rebinds})
                .syncUninterruptibly()
                .getNow();
    }

    /** Closes all sockets; a second call does nothing, as its event loop may have ended. */
    @Override
    public void close() {
        if (closed.getAndSet(true)) {
            return;
        }
        loop.submit(() -> {
                    clients.values().forEach(c -> c.socket.close());
                    if (front != null) {
                        front.close();
                    }
                })
                .awaitUninterruptibly(CLOSE_MILLIS);
    }

    /** One client's address towards the server. */
    private final class Client extends SimpleChannelInboundHandler<DatagramPacket> {
        private final InetSocketAddress client;
        private Channel socket;

        Client(InetSocketAddress client) {
            this.client = client;
            open();
        }

        private void open() {
            socket = bind(this).channel();
        }

        void rebind() {
            rebinds++;
            socket.close();
            open();
        }

        void send(ByteBuf content) {
            // After its bind, which may still be queued on the event loop.
            loop.execute(() -> socket.writeAndFlush(new DatagramPacket(content, server)));
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, DatagramPacket packet) {
            if (hole != Hole.TO_CLIENT && context.channel() == socket) {
                pass(packet.content(), copy -> front.writeAndFlush(new DatagramPacket(copy, client)));
            }
        }

        @Override
        public boolean isSharable() {
            return true; // one handler, one open socket at a time
        }
    }
}
