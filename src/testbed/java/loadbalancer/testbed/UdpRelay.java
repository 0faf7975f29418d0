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

/**
 * A path over loopback between clients and one UDP server, as a {@link RelayScript} says. Each client has an
 * address of its own towards the server, which {@link #rebind} changes, as a NAT does. On one event loop; its
 * methods may be called from any thread.
 */
public final class UdpRelay implements AutoCloseable {
    /** Which way of the path is dead. */
    public enum Hole {
        NONE,
        TO_SERVER,
        TO_CLIENT
    }

    private final AtomicBoolean closed = new AtomicBoolean();
    private final EventLoop loop;
    private final InetSocketAddress server;
    private final RelayScript script;
    private final Map<InetSocketAddress, Client> clients = new HashMap<>();
    private Channel front;
    private Hole hole = Hole.NONE;
    private long relayed;
    private long rebinds;

    public UdpRelay(EventLoop loop, InetSocketAddress server, RelayScript script) {
        this.loop = loop;
        this.server = server;
        this.script = script;
    }

    /** Listens; not for the loop's thread. Returns the address for clients. */
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

    private void pass(ByteBuf content, java.util.function.Consumer<ByteBuf> on) {
        relayed++;
        RelayScript.Fate fate = script.next(content.readableBytes());
        for (int i = 0; i < fate.copies(); i++) {
            ByteBuf copy = content.copy();
            if (fate.flip() >= 0) {
                int at = fate.flip() / 8;
                copy.setByte(at, copy.getByte(at) ^ 1 << fate.flip() % 8);
            }
            if (fate.delay() > 0) {
                loop.schedule(() -> on.accept(copy), fate.delay(), TimeUnit.MICROSECONDS);
            } else {
                on.accept(copy);
            }
        }
    }

    /** Every client comes from another port from here on; what is sent to its old one is lost. */
    public void rebind() {
        loop.execute(() -> clients.values().forEach(Client::rebind));
    }

    /** Holds for all that comes once this returns; not for the loop's own thread. */
    public void hole(Hole where) {
        loop.submit(() -> hole = where).syncUninterruptibly();
    }

    /** Other faults from here on. */
    public void faults(RelayScript.Faults faults) {
        loop.execute(() -> script.set(faults));
    }

    /** Datagrams that came, and ports that were changed. */
    public long[] counts() {
        return loop.submit(() -> new long[] {relayed, rebinds})
                .syncUninterruptibly()
                .getNow();
    }

    /** Does nothing the second time, when its loop may have ended. */
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
                .awaitUninterruptibly(2_000);
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
            // Behind its bind, which the loop may still have before it.
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
