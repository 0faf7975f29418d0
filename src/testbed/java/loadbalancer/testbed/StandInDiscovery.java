package loadbalancer.testbed;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import loadbalancer.proxy.Addresses;
import loadbalancer.proxy.Clock;

/**
 * A stand-in for the platform's discovery: it serves the endpoint list and watches of it, and has faults of its
 * own. {@link DrainNotifications} of each server say since when a balancer counts as notified of its drain. Balancers
 * that are told apart call it at addresses of their own. On one event loop.
 */
final class StandInDiscovery {
    private static final int MAX_BODY_BYTES = 1 << 16;
    private static final long HEARTBEAT_MILLIS = 2_000;

    /** The states of an endpoint, as the list has them. */
    enum State {
        IN_SERVICE,
        TERMINATING,
        TERMINATED
    }

    private static final class Entry {
        final StandInServer server;
        State state = State.IN_SERVICE;
        long bootMillis;

        Entry(StandInServer server) {
            this.server = server;
        }

        DrainNotifications notifications() {
            return server.drainNotifications();
        }
    }

    private final EventLoop loop;
    private final Clock clock;
    private final Map<String, Entry> entries = new LinkedHashMap<>();
    private final Map<Channel, Integer> watches = new HashMap<>(); // each with its balancer
    private final Set<Channel> cutWatches = new HashSet<>();
    private final Set<Channel> channels = new HashSet<>();
    private final List<Channel> unanswered = new ArrayList<>();
    private final List<Channel> listeners = new ArrayList<>();
    private long revision = 1;
    private boolean silent;
    private boolean down;

    StandInDiscovery(EventLoop loop, Clock clock, List<StandInServer> servers) {
        this.loop = loop;
        this.clock = clock;
        servers.forEach(server -> entries.put(server.name(), new Entry(server)));
    }

    /** Listens on a free port and sends heartbeats. Blocks; not for the event loop's thread. */
    InetSocketAddress open() throws InterruptedException {
        loop.scheduleWithFixedDelay(
                () -> {
                    if (!silent) {
                        watches.keySet().forEach(w -> writeLine(w, "\n"));
                    }
                },
                HEARTBEAT_MILLIS,
                HEARTBEAT_MILLIS,
                TimeUnit.MILLISECONDS);
        return openFor(DrainNotifications.SHARED);
    }

    /** Listens on another free port, for one balancer alone. Blocks; not for the event loop's thread. */
    InetSocketAddress openFor(int balancer) throws InterruptedException {
        Channel listener = new ServerBootstrap()
                .group(loop, loop)
                .channel(NioServerSocketChannel.class)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channels.add(channel);
                        channel.closeFuture().addListener(closed -> {
                            channels.remove(channel);
                            watches.remove(channel);
                            cutWatches.remove(channel);
                        });
                        channel.pipeline()
                                .addLast(
                                        new HttpServerCodec(),
                                        new HttpObjectAggregator(MAX_BODY_BYTES),
                                        new Handler(balancer));
                        if (down) {
                            channel.close();
                        }
                    }
                })
                .bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
                .sync()
                .channel();
        listeners.add(listener);
        return (InetSocketAddress) listener.localAddress();
    }

    void close() {
        listeners.forEach(Channel::close);
        List.copyOf(channels).forEach(Channel::close);
    }

    /** The complete endpoint list as JSON. */
    String endpointList() {
        return json(true, List.copyOf(entries.values()));
    }

    // ---------------------------------------------------------------- on the loop

    /** Changes the state of a server and announces it. */
    void setState(String server, State state) {
        Entry entry = entries.get(server);
        if (entry.state != state) {
            entry.state = state;
            announce(entry);
        }
    }

    /** How many watches are open. */
    int watches() {
        return watches.size();
    }

    /** The announced state of a server. */
    State state(String server) {
        return entries.get(server).state;
    }

    /** Announces that a server has been restarted. */
    void started(String server) {
        Entry entry = entries.get(server);
        entry.bootMillis = clock.now() / 1000;
        announce(entry);
    }

    private void announce(Entry entry) {
        revision++;
        boolean reachable = !silent && !down;
        if (entry.state == State.IN_SERVICE) {
            entry.notifications().drainEnded();
        } else {
            entry.notifications().drainBegan(clock.now(), reachable);
        }
        if (reachable) {
            String change = json(false, List.of(entry)) + "\n";
            watches.forEach((watch, balancer) -> {
                writeLine(watch, change);
                entry.notifications().delivered(balancer, clock.now());
            });
        }
    }

    private void recordCompleteList(int balancer) {
        entries.values().forEach(entry -> entry.notifications().delivered(balancer, clock.now()));
    }

    private void recordReturn() {
        entries.values().forEach(entry -> entry.notifications().discoveryReturned(clock.now()));
    }

    /** Open watches deliver one more heartbeat and then nothing; they are closed when the partition ends. */
    void setWatchesCut(boolean on) {
        if (on) {
            watches.keySet().forEach(w -> writeLine(w, "\n")); // so that it takes longest to detect
            cutWatches.addAll(watches.keySet());
            watches.clear();
        } else {
            List.copyOf(cutWatches).forEach(Channel::close);
        }
    }

    /** While it is silent it accepts calls and does not respond; watches stay open. */
    void setSilent(boolean on) {
        silent = on;
        if (!on) {
            recordReturn();
            // Watches that stayed open have missed changes: they are closed, so that balancers open new ones.
            List.copyOf(watches.keySet()).forEach(Channel::close);
            unanswered.forEach(Channel::close);
            unanswered.clear();
        }
    }

    /** While it is down it closes all connections at once. */
    void setDown(boolean on) {
        down = on;
        if (on) {
            List.copyOf(channels).forEach(Channel::close);
        } else {
            recordReturn();
        }
    }

    private String json(boolean complete, List<Entry> selected) {
        StringBuilder out = new StringBuilder("{\"rev\":" + revision + ",\"all\":" + complete + ",\"targets\":[");
        String separator = "";
        for (Entry entry : selected) {
            if (complete && entry.state == State.TERMINATED) {
                continue;
            }
            out.append(separator);
            appendEndpoint(out, entry);
            separator = ",";
        }
        return out.append("]}").toString();
    }

    private static void appendEndpoint(StringBuilder out, Entry entry) {
        StandInServer server = entry.server;
        out.append("{\"uid\":\"")
                .append(server.name())
                .append("\",\"endpoint\":\"")
                .append(Addresses.text(server.address()))
                .append("\",\"az\":\"")
                .append(server.group().zone())
                .append("\",\"model\":\"")
                .append(server.group().model())
                .append("\",\"pod_group\":")
                .append(server.cellIndex())
                .append(",\"state\":\"")
                .append(entry.state.name().toLowerCase(Locale.ROOT))
                .append("\",\"capacity_hint\":")
                .append(server.group().speed() * server.group().cores())
                .append(",\"boot_ms\":")
                .append(entry.bootMillis);
        if (server.http3Address() != null) {
            out.append(",\"http3\":\"")
                    .append(Addresses.text(server.http3Address()))
                    .append('"');
        }
        out.append('}');
    }

    private static void writeLine(Channel channel, String text) {
        channel.writeAndFlush(new DefaultHttpContent(Unpooled.copiedBuffer(text, StandardCharsets.UTF_8)));
    }

    private final class Handler extends SimpleChannelInboundHandler<FullHttpRequest> {
        private final int balancer;

        Handler(int balancer) {
            this.balancer = balancer;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
            Channel channel = context.channel();
            if (silent) {
                unanswered.add(channel);
            } else if (request.uri().startsWith("/api/targets?watch=1")) {
                var head = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
                head.headers().set(HttpHeaderNames.TRANSFER_ENCODING, "chunked");
                channel.write(head);
                writeLine(channel, endpointList() + "\n");
                watches.put(channel, balancer);
                recordCompleteList(balancer);
            } else {
                byte[] body = endpointList().getBytes(StandardCharsets.UTF_8);
                var response = new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1, HttpResponseStatus.OK, Unpooled.wrappedBuffer(body));
                response.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.length);
                channel.writeAndFlush(response);
                recordCompleteList(balancer);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
