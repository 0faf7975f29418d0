package junctionhead.net;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import junctionhead.SettingsReader;

/** The side to the clients: takes connections, hands requests over, and words each one's final answer. */
final class ClientServer {
    private static final int BACKLOG = 1024;
    private static final long LOOK_MS = 200;        // between looks at what takes too long
    private static final long LONG_REST = TimeUnit.SECONDS.toNanos(1);
    private static final long ROOM = 6 << 20;       // bytes of bodies of clients held together

    private final EventLoop loop;
    private final SettingsReader.Boot boot;
    private final Dispatcher dispatcher;
    private final Descriptors descriptors;
    private final BooleanSupplier shedIdleUpstream;
    private final Room room = new Room(ROOM);
    private final Set<Client> clients = new LinkedHashSet<>();  // the oldest first
    private Channel listener;
    private boolean ready;
    private boolean stopping;
    private boolean makingRoom;
    private Rehearsal rehearsal;                    // while it is on

    ClientServer(EventLoop loop, SettingsReader.Boot boot, Dispatcher dispatcher, Descriptors descriptors,
            BooleanSupplier shedIdleUpstream) {
        this.loop = loop;
        this.boot = boot;
        this.dispatcher = dispatcher;
        this.descriptors = descriptors;
        this.shedIdleUpstream = shedIdleUpstream;
    }

    /** Listens; called from another thread than the loop's, and returns the address in use. */
    InetSocketAddress listen(InetSocketAddress at) throws IOException {
        try {
            Channel bound = new ServerBootstrap().group(loop, loop).channel(NioServerSocketChannel.class)
                // Known before it listens: on a slow machine a connection came in before bind had returned
                // to the starting thread, found no listener, and was dropped unanswered.
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        listener = channel;
                    }
                })
                .option(ChannelOption.SO_BACKLOG, BACKLOG).option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        opened(channel);
                    }
                }).bind(at).sync().channel();
            loop.scheduleWithFixedDelay(this::look, LOOK_MS, LOOK_MS, TimeUnit.MILLISECONDS);
            return (InetSocketAddress) bound.localAddress();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted");
        }
    }

    void ready() {
        ready = !stopping;
    }

    /** Serves a rehearsal's requests as well; null when it is over. */
    void rehearse(Rehearsal with) {
        rehearsal = with;
    }

    /** From here on answers end their connections; new ones are still taken. */
    void stopping() {
        ready = false;
        stopping = true;
    }

    boolean isStopping() {
        return stopping;
    }

    Room room() {
        return room;
    }

    /** Takes no more connections and drops those that hold no request. */
    void close() {
        listener.close();
        long now = System.nanoTime();
        List.copyOf(clients).stream().filter(c -> c.restedFor(now) >= 0).forEach(Client::close);
    }

    // ---------------------------------------------------------------- connections

    private void opened(Channel channel) {
        Client client = new Client(this, channel);
        descriptors.clientOpened();
        makeRoom();
        clients.add(client);
        channel.closeFuture().addListener(closed -> {
            descriptors.clientClosed();
            clients.remove(client);
            client.closed();
            makeRoom();
        });
    }

    private void look() {
        long now = System.nanoTime();
        List.copyOf(clients).forEach(c -> c.look(now));
        makeRoom();
    }

    // Makes room before an accept can fail. Guards against the end of the descriptors, and against clients
    // that take them all and leave none for the upstreams: at last new connections wait in the backlog.
    private void makeRoom() {
        if (makingRoom) {
            return;                                 // what it closes tells of its end here
        }
        makingRoom = true;
        boolean room = true;
        while (descriptors.crowded() && room) {
            room = shed();
        }
        makingRoom = false;
        if (listener.isOpen()) {
            listener.config().setAutoRead(!descriptors.crowded());
        }
    }

    /**
     * Closes a connection that is needed least; false where all are in use. Clients that have never asked go
     * first: a few hundred of them, opened at once, shut everybody else out, and had the connections to the
     * upstreams closed one by one. Then go clients that have long been at rest.
     */
    boolean shed() {
        long now = System.nanoTime();
        Client longest = null;
        long most = -1;
        for (Client client : clients) {
            long rest = client.restedFor(now);
            if (rest >= 0 && !client.asked()) {
                client.close();
                return true;
            }
            if (rest > most) {
                most = rest;
                longest = client;
            }
        }
        if (most < LONG_REST && shedIdleUpstream.getAsBoolean()) {
            return true;
        }
        if (longest != null) {
            longest.close();
        }
        return longest != null;
    }

    // ---------------------------------------------------------------- requests

    void serve(Client client, HttpRequest request, byte[] body) {
        boolean keep = HttpUtil.isKeepAlive(request);
        String path = request.uri();
        boolean rehearsing = rehearsal != null && rehearsal.knows(request.headers());
        if (rehearsing && path.equals(Rehearsal.HOP)) {
            boolean declined = rehearsal.declines();
            client.write(declined ? HttpResponseStatus.SERVICE_UNAVAILABLE : HttpResponseStatus.OK,
                Unpooled.wrappedBuffer(new byte[256]), null, declined ? "Srv-Declined" : "Srv-Load",
                declined ? "1" : "TEXT eps=0.1, latency_ms=14.5, inflight=2", keep);
        } else if (path.startsWith("/-/") && !(rehearsing && path.equals(Rehearsal.PATH))) {
            boolean asked = path.equals("/-/ready") && request.method().equals(HttpMethod.GET);
            HttpResponseStatus status = !asked ? HttpResponseStatus.NOT_FOUND
                : ready ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE;
            client.plain(status, !asked ? "not found" : ready ? "ready" : "not ready", keep);
        } else {
            Order order;
            try {
                order = RequestRules.order(request, body, boot);
            } catch (IllegalArgumentException e) {
                client.refuse(HttpResponseStatus.BAD_REQUEST, e.getMessage());
                return;
            }
            Dispatcher to = path.equals(Rehearsal.PATH) ? rehearsal.dispatcher() : dispatcher;
            if (to.holds(order.id())) {
                // An upstream could not tell the two apart, and might answer one with the other's.
                client.refuse(HttpResponseStatus.CONFLICT, "a request with this Req-Id is open");
                return;
            }
            Answer answer = new Answer(client, keep);
            Runnable leave =
                to.take(path.equals(Rehearsal.PATH) ? order.to(Rehearsal.HOP) : order, answer);
            if (!answer.given) {
                client.owed(leave);
            }
        }
    }

    /** The final answer to one request; the dispatcher gives it once. */
    private static final class Answer implements Dispatcher.Reply {
        private final Client client;
        private final boolean keep;
        private boolean given;

        Answer(Client client, boolean keep) {
            this.client = client;
            this.keep = keep;
        }

        @Override
        public void serve(AnswerReader.Answer answer) {
            given = true;
            client.write(HttpResponseStatus.OK, Unpooled.wrappedBuffer(answer.body()), answer.type(), null,
                null, keep);
        }

        @Override
        public void refuse(long retryAfter) {
            given = true;
            String seconds = retryAfter <= 0 ? null : String.format(Locale.ROOT, "%.3f", retryAfter / 1e6);
            client.write(HttpResponseStatus.SERVICE_UNAVAILABLE,
                Unpooled.copiedBuffer("refused: trying again is harmless\n", StandardCharsets.UTF_8),
                "text/plain", "Retry-After", seconds, keep);
        }

        @Override
        public void fail() {
            given = true;
            client.plain(HttpResponseStatus.BAD_GATEWAY, "failed", keep);
        }
    }
}
