package loadbalancer.downstream.http1;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioServerDomainSocketChannel;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.UnixDomainSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import loadbalancer.connections.ConnectionBudget;
import loadbalancer.connections.ConnectionPermit;
import loadbalancer.connections.Direction;
import loadbalancer.eventloop.ReadBeforeTimers;
import loadbalancer.http1.Http1HeaderFields;
import loadbalancer.lifecycle.LifeCycle;
import loadbalancer.lifecycle.ShutdownDrain;
import loadbalancer.proxy.BodyMemoryBudget;
import loadbalancer.proxy.BodyStream;
import loadbalancer.proxy.Dispatcher;
import loadbalancer.proxy.Invariants.Violation;
import loadbalancer.proxy.ProxyRequest;
import loadbalancer.proxy.RequestLog.Event;
import loadbalancer.proxy.RequestValidator;
import loadbalancer.proxy.ResponseWriter;
import loadbalancer.proxy.UpstreamResponse;
import loadbalancer.proxy.WarmUpRequests;
import loadbalancer.settings.SettingsReader;

/** The side to the clients: takes connections, hands requests over, and words each one's final answer. */
public final class Http1Listener {
    private static final int BACKLOG = 1024;
    private static final int ACCEPTS = 16; // in one pass over the sockets, as Netty does
    private static final long LOOK_MS = 200; // between looks at what takes too long
    private static final long ACCEPT_RETRY_MS = 5; // behind one that has failed
    private static final long AGAIN_MS = 20; // while new connections wait to be accepted
    private static final int READ_MOST = 32 << 10; // bytes at once
    private static final int READS = 4; // in one turn: none keeps the others waiting
    private static final int CLOSES = 8; // of those at rest, in one turn of the loop
    private static final int STRANGERS = 8; // taken in every so often during a rehearsal
    private static final long EARLY = 2 << 20; // bytes of long bodies that wait for their attempts

    private final EventLoop loop;
    private SettingsReader.Boot boot;
    private final Dispatcher dispatcher;
    private final ConnectionBudget budget;
    private final Consumer<String> log;
    private final BodyMemoryBudget room;
    private final BodyMemoryBudget early = new BodyMemoryBudget(EARLY);
    private final Set<Http1ClientConnection> clients = new LinkedHashSet<>(); // the oldest first
    private final LifeCycle life;
    private Channel listener;
    private boolean shared; // the listener is not this process's own
    private boolean winding; // some at rest are about to be closed
    private boolean makingRoom;
    private boolean waking; // room is made once all sockets have been looked at
    private boolean acceptFails; // it is tried again soon
    private long failedAccepts;
    private int strangers; // taken in during a rehearsal since the last look
    private boolean again; // room will be looked for again soon
    private long comers; // connections so far
    private long reads; // times that bytes of theirs were read, so far
    private WarmUpRequests rehearsal; // while it is on
    private String elsewhere; // another protocol at which clients may ask, if any

    public Http1Listener(
            EventLoop loop,
            SettingsReader.Boot boot,
            Dispatcher dispatcher,
            ConnectionBudget budget,
            BodyMemoryBudget room,
            LifeCycle life,
            Consumer<String> log) {
        this.room = room;
        this.life = life;
        this.loop = loop;
        this.boot = boot;
        this.dispatcher = dispatcher;
        this.budget = budget;
        this.log = log;
    }

    /**
     * Listens; called from another thread than the loop's, and returns the address in use.
     *
     * @param inherited a listener that other processes read as well, in place of one of its own; or null
     */
    public InetSocketAddress listen(InetSocketAddress at, ServerSocketChannel inherited) throws IOException {
        shared = inherited != null;
        try {
            ServerBootstrap bootstrap = new ServerBootstrap()
                    .group(loop, loop)
                    .channelFactory(() -> AcceptingChannel.of(inherited, new Gatekeeper()))
                    // Known before it listens: on a slow machine a connection came in before bind had returned
                    // to the starting thread, found no listener, and was dropped unanswered.
                    .handler(new ChannelInitializer<Channel>() {
                        @Override
                        protected void initChannel(Channel channel) {
                            listener = channel;
                            // Before this process is ready whoever came before it accepts.
                            channel.config().setAutoRead(!shared);
                        }
                    })
                    .option(ChannelOption.SO_BACKLOG, BACKLOG)
                    .option(ChannelOption.SO_REUSEADDR, true)
                    .childOption(ChannelOption.TCP_NODELAY, true)
                    .childOption(
                            ChannelOption.RECVBUF_ALLOCATOR,
                            new AdaptiveRecvByteBufAllocator(64, 2_048, READ_MOST).maxMessagesPerRead(READS))
                    .childHandler(new ChannelInitializer<Channel>() {
                        @Override
                        protected void initChannel(Channel channel) {
                            opened(channel);
                        }
                    });
            Channel bound =
                    (shared ? bootstrap.register() : bootstrap.bind(at)).sync().channel();
            ReadBeforeTimers.every(loop, LOOK_MS, TimeUnit.MILLISECONDS, this::look);
            return (InetSocketAddress) bound.localAddress();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted");
        }
    }

    /** Listens for a rehearsal at a socket of the file system; {@code then} gets it, or null, on the loop. */
    public void listenBeside(Path path, Consumer<Channel> then) {
        ChannelFuture bound = new ServerBootstrap()
                .group(loop, loop)
                .channel(NioServerDomainSocketChannel.class)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        opened(channel);
                    }
                })
                .bind(UnixDomainSocketAddress.of(path));
        bound.addListener(done -> then.accept(done.isSuccess() ? bound.channel() : null));
    }

    /** Serves a rehearsal's requests as well; null when it is over. */
    public void warmUp(WarmUpRequests with) {
        rehearsal = with;
    }

    /** Other settings hold from here on, for what comes in. */
    public void reload(SettingsReader.Boot to) {
        boot = to;
    }

    /** Does what the life cycle says by now: takes connections or not, and ends those that rest too long. */
    public void applyLifeCycle() {
        makeRoom();
        wind();
    }

    // A few at a time: what has come in meanwhile is read between them, and not cut off.
    private void wind() {
        long now = System.nanoTime();
        long most = life.maxIdleTime(now);
        if (most == Long.MAX_VALUE || winding) {
            return;
        }
        List<Http1ClientConnection> over = clients.stream()
                .filter(c -> c.lease().isIdle() && c.lease().since(now) >= most)
                .limit(CLOSES)
                .toList();
        over.forEach(Http1ClientConnection::close);
        if (over.size() == CLOSES) {
            winding = true;
            ReadBeforeTimers.after(loop, 1, TimeUnit.MILLISECONDS, () -> {
                winding = false;
                wind();
            });
        }
    }

    /** From here on answers name another protocol's address as well (Alt-Svc, RFC 7838); null: none. */
    public void advertise(String service) {
        elsewhere = service;
    }

    String elsewhere() {
        return life.keepsConnections() ? elsewhere : null;
    }

    boolean keeps() {
        return life.keepsConnections();
    }

    ConnectionBudget budget() {
        return budget;
    }

    BodyMemoryBudget room() {
        return room;
    }

    BodyMemoryBudget early() {
        return early;
    }

    /** Takes no more connections. One that others listen at as well stays as it is, unread. */
    public void close() {
        if (shared) {
            listener.config().setAutoRead(false);
        } else {
            listener.close();
        }
    }

    /** Whether a long answer is on its way. */
    public boolean passes() {
        return clients.stream().anyMatch(Http1ClientConnection::passes);
    }

    void violated(Violation what, String subject) {
        dispatcher.invariants().violated(what, subject);
    }

    void hasRead() {
        reads++;
    }

    /** How the connections stand, for a balancer that is to end and owes so many answers. */
    public ShutdownDrain.Observation observe(int owed) {
        int halves = 0;
        int resting = 0;
        int unsent = 0;
        for (Http1ClientConnection client : clients) {
            halves += client.isHalf() ? 1 : 0;
            resting += client.lease().isIdle() ? 1 : 0;
            unsent += client.isUnsent() ? 1 : 0;
        }
        return new ShutdownDrain.Observation(comers, reads, owed, halves, resting, unsent);
    }

    /** How many connections clients hold here. */
    public int open() {
        return clients.size();
    }

    // ---------------------------------------------------------------- connections

    private void opened(Channel channel) {
        Http1ClientConnection client = new Http1ClientConnection(this, channel);
        clients.add(client);
        comers++;
        strangers++;
        long number = comers;
        dispatcher.requestLog().connection(Event.CONNECTION_ACCEPTED, number, channel.remoteAddress());
        channel.closeFuture().addListener(closed -> {
            budget.closed(client.lease(), System.nanoTime());
            clients.remove(client);
            dispatcher.requestLog().connection(Event.CONNECTION_CLOSED, number, client.closeReason());
            client.closed();
            makeRoom();
        });
        makeRoom();
    }

    ConnectionPermit leaseFor(Http1ClientConnection client, Channel channel) {
        Object address = channel.remoteAddress() instanceof InetSocketAddress from
                ? ConnectionBudget.address(from.getAddress().getAddress())
                : "gone";
        return budget.openClient(address, 1, client::close, System.nanoTime());
    }

    private void look() {
        long now = System.nanoTime();
        List.copyOf(clients).forEach(c -> c.look(now));
        budget.closeExpired(now);
        makeRoom();
        String news = budget.pressureChange(now);
        if (news != null) {
            log.accept(news);
        }
    }

    // Makes room before an accept can fail; where the budget names none to go, new ones wait in the backlog.
    private void makeRoom() {
        if (makingRoom || waking) {
            return; // what it closes tells of its end here
        }
        if (dispatcher.mayHaveUnread() && !budget.admits(Direction.CLIENT, System.nanoTime())) {
            // Of those that seem to rest some hold a request that has not been read.
            waking = true;
            accept(false, "unread news");
            dispatcher.afterUpdates(() -> {
                waking = false;
                makeRoom();
            });
            return;
        }
        makingRoom = true;
        boolean room = budget.evictToAdmit(Direction.CLIENT, System.nanoTime());
        makingRoom = false;
        budget.setClientsWaiting(!room);
        if (listener.isOpen()) {
            boolean open = room && !acceptFails && (rehearsal == null || strangers < STRANGERS) && life.accepts(shared);
            accept(open, !room ? "no room" : rehearsal != null ? "warm-up" : "life cycle");
            if (!open && !again) {
                again = true; // a newcomer's fair time may be over before anything ends
                loop.schedule(
                        () -> {
                            again = false;
                            strangers = 0;
                            makeRoom();
                        },
                        AGAIN_MS,
                        TimeUnit.MILLISECONDS);
            }
        }
    }

    /** How many connections are accepted at once, and what follows where that fails. */
    private final class Gatekeeper implements AcceptingChannel.Gatekeeper {
        // One at least: room for it was made before the listener was read.
        @Override
        public boolean mayAccept(int accepted) {
            return accepted == 0
                    || accepted < ACCEPTS
                            && accepted < budget.available(Direction.CLIENT, System.nanoTime())
                            && (rehearsal == null || strangers + accepted < STRANGERS);
        }

        @Override
        public void acceptFailed(IOException cause) {
            failedAccepts++;
            if (Long.bitCount(failedAccepts) == 1) {
                log.accept("accept failed: " + cause.getMessage() + ", " + failedAccepts + " so far");
            }
            acceptFails = true;
            accept(false, "accept failed");
            loop.schedule(
                    () -> {
                        acceptFails = false;
                        makeRoom();
                    },
                    ACCEPT_RETRY_MS,
                    TimeUnit.MILLISECONDS);
        }
    }

    private void accept(boolean on, String why) {
        if (on != listener.config().isAutoRead()) {
            dispatcher.requestLog().process(on ? Event.ACCEPT_RESUMED : Event.ACCEPT_PAUSED, why);
            listener.config().setAutoRead(on);
        }
    }

    // ---------------------------------------------------------------- requests

    void serve(Http1ClientConnection client, HttpRequest request, byte[] body, BodyStream rest, long length) {
        boolean keep = HttpUtil.isKeepAlive(request);
        String path = request.uri();
        Http1HeaderFields fields = new Http1HeaderFields(request.headers());
        boolean rehearsing = rehearsal != null && rehearsal.knows(fields);
        if (rehearsing && path.equals(WarmUpRequests.HOP)) {
            boolean declined = rehearsal.declines();
            client.write(
                    declined ? HttpResponseStatus.SERVICE_UNAVAILABLE : HttpResponseStatus.OK,
                    Unpooled.wrappedBuffer(new byte[256]),
                    null,
                    declined ? "Srv-Declined" : "Srv-Load",
                    declined ? "1" : "TEXT eps=0.1, latency_ms=14.5, inflight=2",
                    keep);
        } else if (path.startsWith("/-/") && !(rehearsing && path.equals(WarmUpRequests.PATH))) {
            boolean asked = path.equals("/-/ready") && request.method().equals(HttpMethod.GET);
            HttpResponseStatus status = !asked
                    ? HttpResponseStatus.NOT_FOUND
                    : life.ready() ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE;
            client.plain(status, !asked ? "not found" : life.ready() ? "ready" : "not ready", keep);
        } else {
            ProxyRequest order;
            try {
                order = RequestValidator.validate(request.method().name(), path, fields, body, boot)
                        .withBodyStream(rest, length);
                fields.endToEnd();
            } catch (IllegalArgumentException e) {
                client.refuse(HttpResponseStatus.BAD_REQUEST, e.getMessage());
                return;
            }
            Dispatcher to = path.equals(WarmUpRequests.PATH) ? rehearsal.dispatcher() : dispatcher;
            if (to.isOpen(order.id())) {
                // An upstream could not tell the two apart, and might answer one with the other's.
                client.refuse(HttpResponseStatus.CONFLICT, "a request with this Req-Id is open");
                return;
            }
            OneAnswer answer =
                    new OneAnswer(client, keep, request.protocolVersion().equals(HttpVersion.HTTP_1_0));
            Runnable leave =
                    to.dispatch(path.equals(WarmUpRequests.PATH) ? order.withUri(WarmUpRequests.HOP) : order, answer);
            if (!answer.given) {
                client.owed(leave);
            }
        }
    }

    /** The final answer to one request; the dispatcher gives it once. */
    private static final class OneAnswer implements ResponseWriter {
        private final Http1ClientConnection client;
        private final boolean keep;
        private final boolean old; // HTTP/1.0
        private boolean given;

        OneAnswer(Http1ClientConnection client, boolean keep, boolean old) {
            this.old = old;
            this.client = client;
            this.keep = keep;
        }

        private void given() {
            if (given) {
                client.violated(Violation.SECOND_RESPONSE);
            }
            given = true;
        }

        @Override
        public void readConnection() {
            client.readNow();
        }

        @Override
        public void serve(UpstreamResponse answer) {
            given();
            if (answer.rest() != null) {
                client.pass(answer, keep, old);
                return;
            }
            client.write(HttpResponseStatus.OK, Unpooled.wrappedBuffer(answer.body()), answer.type(), null, null, keep);
        }

        @Override
        public void reject(long retryAfter) {
            given();
            String seconds = retryAfter <= 0 ? null : String.format(Locale.ROOT, "%.3f", retryAfter / 1e6);
            client.write(
                    HttpResponseStatus.SERVICE_UNAVAILABLE,
                    Unpooled.copiedBuffer("refused: trying again is harmless\n", StandardCharsets.UTF_8),
                    "text/plain",
                    "Retry-After",
                    seconds,
                    keep);
        }

        @Override
        public void fail() {
            given();
            client.plain(HttpResponseStatus.BAD_GATEWAY, "failed", keep);
        }
    }
}
