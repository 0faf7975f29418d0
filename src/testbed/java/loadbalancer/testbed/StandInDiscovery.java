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
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import loadbalancer.proxy.Addresses;
import loadbalancer.proxy.Clock;

/**
 * The platform's discovery on a socket: the list, a watch, and its troubles. On one event loop. It notes
 * when it
 * told of a drain: from then on, or {@link #TOLD} after the drain at the latest, the rules' grace runs.
 */
final class StandInDiscovery {
    /** µs after which what it has to tell counts as told, whether or not it arrived. */
    static final long TOLD = 6_000_000;

    private static final long BEAT_MS = 2_000;

    enum State {
        IN_SERVICE,
        TERMINATING,
        TERMINATED
    }

    private static final class Entry {
        final StandInServer box;
        State state = State.IN_SERVICE;
        long bootMillis;
        long drainedAt;
        boolean heard; // by the balancer, of its state
        long told; // of its drain, or when it counts as told

        Entry(StandInServer box) {
            this.box = box;
        }
    }

    private final EventLoop loop;
    private final Clock clock;
    private final long grace;
    private final Map<String, Entry> entries = new LinkedHashMap<>();
    private final Set<Channel> watches = new HashSet<>();
    private final Set<Channel> mute = new HashSet<>();
    private final Set<Channel> all = new HashSet<>();
    private final List<Channel> unanswered = new ArrayList<>();
    private Channel listener;
    private long rev = 1;
    private boolean graceFromLastWatch;
    private boolean silent;
    private boolean down;

    /** {@code grace}: how long after a drain was told requests may still be sent, in µs. */
    StandInDiscovery(EventLoop loop, Clock clock, long grace, List<StandInServer> boxes) {
        this.loop = loop;
        this.clock = clock;
        this.grace = grace;
        boxes.forEach(box -> entries.put(box.name(), new Entry(box)));
    }

    /**
     * From here on the grace of a drain counts from when the last process heard of it, as processes lose
     * their watches and come back at times of their own; nobody can tell here whose watch is whose. Before it
     * is opened.
     */
    void countFromLastWatch() {
        graceFromLastWatch = true;
    }

    /** Listens; not for the loop's own thread. */
    InetSocketAddress open() throws InterruptedException {
        listener = new ServerBootstrap()
                .group(loop, loop)
                .channel(NioServerSocketChannel.class)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        all.add(channel);
                        channel.closeFuture().addListener(closed -> {
                            all.remove(channel);
                            watches.remove(channel);
                            mute.remove(channel);
                        });
                        channel.pipeline()
                                .addLast(new HttpServerCodec(), new HttpObjectAggregator(1 << 16), new Handler());
                        if (down) {
                            channel.close();
                        }
                    }
                })
                .bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
                .sync()
                .channel();
        loop.scheduleWithFixedDelay(
                () -> {
                    if (!silent) {
                        watches.forEach(w -> line(w, "\n"));
                    }
                },
                BEAT_MS,
                BEAT_MS,
                TimeUnit.MILLISECONDS);
        return (InetSocketAddress) listener.localAddress();
    }

    void close() {
        listener.close();
        List.copyOf(all).forEach(Channel::close);
    }

    /** The list in its whole, as a balancer may have kept it from before. */
    String list() {
        return json(true, List.copyOf(entries.values()));
    }

    // ---------------------------------------------------------------- on the loop

    /** A box leaves service in order, or returns. */
    void set(String box, State state) {
        Entry entry = entries.get(box);
        if (entry.state != state) {
            entry.state = state;
            changed(entry);
        }
    }

    int watches() {
        return watches.size();
    }

    State state(String box) {
        return entries.get(box).state;
    }

    /** A box has started anew. */
    void started(String box) {
        Entry entry = entries.get(box);
        entry.bootMillis = clock.now() / 1000;
        changed(entry);
    }

    // What it could tell nobody counts as told from when it could.
    private void nowReachable() {
        for (Entry entry : entries.values()) {
            if (entry.state != State.IN_SERVICE && !entry.heard) {
                entry.told = clock.now() + TOLD;
                entry.box.sendsEndAt(entry.told + grace);
            }
        }
    }

    private void changed(Entry entry) {
        rev++;
        entry.heard = false;
        if (entry.state == State.IN_SERVICE) {
            entry.drainedAt = 0;
            entry.box.sendsEndAt(Long.MAX_VALUE);
        } else {
            entry.drainedAt = clock.now();
            entry.told = silent || down ? Long.MAX_VALUE - grace : entry.drainedAt + TOLD;
            entry.box.sendsEndAt(entry.told + grace);
        }
        if (!silent && !down) {
            String change = json(false, List.of(entry)) + "\n";
            watches.forEach(w -> line(w, change));
            if (!watches.isEmpty()) {
                told(List.of(entry));
            }
        }
    }

    private void told(List<Entry> list) {
        for (Entry entry : list) {
            if (entry.state != State.IN_SERVICE) {
                long now = clock.now();
                entry.told = graceFromLastWatch && entry.heard
                        ? Math.min(entry.drainedAt + TOLD, now)
                        : Math.min(entry.told, now);
                entry.heard = true;
                entry.box.sendsEndAt(entry.told + grace);
            }
        }
    }

    /** Open watches bring one more beat and then nothing; they end when the network is whole again. */
    void cut(boolean on) {
        if (on) {
            watches.forEach(w -> line(w, "\n")); // the longest time until it can be noticed
            mute.addAll(watches);
            watches.clear();
        } else {
            List.copyOf(mute).forEach(Channel::close);
        }
    }

    void silent(boolean on) {
        silent = on;
        if (!on) {
            nowReachable();
            // What it would have said meanwhile is lost to the watches that stayed open: they end.
            List.copyOf(watches).forEach(Channel::close);
            unanswered.forEach(Channel::close);
            unanswered.clear();
        }
    }

    void down(boolean on) {
        down = on;
        if (on) {
            List.copyOf(all).forEach(Channel::close);
        } else {
            nowReachable();
        }
    }

    private String json(boolean whole, List<Entry> list) {
        StringBuilder out = new StringBuilder("{\"rev\":" + rev + ",\"all\":" + whole + ",\"targets\":[");
        String comma = "";
        for (Entry e : list) {
            if (whole && e.state == State.TERMINATED) {
                continue;
            }
            out.append(comma)
                    .append("{\"uid\":\"")
                    .append(e.box.name())
                    .append("\",\"endpoint\":\"")
                    .append(Addresses.text(e.box.address()))
                    .append("\",\"az\":\"")
                    .append(e.box.kind().zone())
                    .append("\",\"model\":\"")
                    .append(e.box.kind().model())
                    .append("\",\"pod_group\":")
                    .append(e.box.cellNumber())
                    .append(",\"state\":\"")
                    .append(e.state.name().toLowerCase())
                    .append("\",\"capacity_hint\":")
                    .append(e.box.kind().speed() * e.box.kind().cores())
                    .append(",\"boot_ms\":")
                    .append(e.bootMillis);
            if (e.box.http3() != null) {
                out.append(",\"http3\":\"")
                        .append(Addresses.text(e.box.http3()))
                        .append('"');
            }
            out.append('}');
            comma = ",";
        }
        return out.append("]}").toString();
    }

    private static void line(Channel channel, String text) {
        channel.writeAndFlush(new DefaultHttpContent(Unpooled.copiedBuffer(text, StandardCharsets.UTF_8)));
    }

    private final class Handler extends SimpleChannelInboundHandler<FullHttpRequest> {
        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
            Channel channel = context.channel();
            if (silent) {
                unanswered.add(channel);
            } else if (request.uri().startsWith("/api/targets?watch=1")) {
                var head = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
                head.headers().set(HttpHeaderNames.TRANSFER_ENCODING, "chunked");
                channel.write(head);
                line(channel, list() + "\n");
                watches.add(channel);
                told(List.copyOf(entries.values()));
            } else {
                byte[] body = list().getBytes(StandardCharsets.UTF_8);
                var answer = new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1, HttpResponseStatus.OK, Unpooled.wrappedBuffer(body));
                answer.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.length);
                channel.writeAndFlush(answer);
                told(List.copyOf(entries.values()));
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
