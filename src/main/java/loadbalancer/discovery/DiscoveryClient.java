package loadbalancer.discovery;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.DecoderException;
import io.netty.handler.codec.MessageToMessageDecoder;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import loadbalancer.eventloop.ReadBeforeTimers;
import loadbalancer.policy.Policy;
import loadbalancer.policy.Policy.ListKind;
import loadbalancer.proxy.Addresses;
import loadbalancer.proxy.EndpointSource;
import loadbalancer.proxy.EndpointUpdate;
import loadbalancer.settings.SettingsReader;

/**
 * Asks discovery for the list and watches its changes: where discovery is asked, only as the module wishes;
 * where lists are pushed, always.
 */
public final class DiscoveryClient implements EndpointSource {
    private static final int LINE_MOST = 4 << 20;
    private static final int CONNECT_MS = 2_000;
    private static final int UNANSWERED_MOST = 3; // watches at once, where the next is begun beside

    /** Whom it tells. */
    public interface News {
        /**
         * A list or a change; FAILED and null where a call or the watch has failed.
         *
         * @param toldFor µs for which it may have counted as told
         */
        void list(ListKind kind, EndpointUpdate targets, long toldFor);
    }

    private final EventLoop loop;
    private final Set<Call> calls = new LinkedHashSet<>(); // under way
    private InetSocketAddress address;
    private final SettingsReader.Boot boot;
    private final News news;
    private final Consumer<String> log;
    private final boolean pushed;
    private final VersionTracker versions;
    private final WatchTimeout silence;
    private Call watch; // the newest
    private boolean wanted; // a watch, whether one is open or not

    /** {@code rev}: the version of the list that is in use. */
    public DiscoveryClient(
            EventLoop loop,
            InetSocketAddress address,
            SettingsReader.Boot boot,
            long rev,
            News news,
            Consumer<String> log) {
        this.loop = loop;
        this.address = address;
        this.boot = boot;
        this.versions = new VersionTracker(rev);
        this.news = news;
        this.log = log;
        this.pushed = boot.settings().discovery() == Policy.Discovery.PUSH;
        Policy.Settings settings = boot.settings();
        this.silence = new WatchTimeout(pushed, settings.rank(), settings.balancers());
    }

    /** Begins to watch unasked where lists are pushed. */
    public void start() {
        if (pushed) {
            watch(true);
        }
    }

    @Override
    public void watch(boolean on) {
        wanted = on;
        List<Call> earlier = watches();
        watch = on ? new Call("/api/targets?watch=1&from=" + versions.inUse(), true) : null;
        earlier.forEach(Call::drop);
        if (on) {
            watch.open();
        }
    }

    private List<Call> watches() {
        return calls.stream().filter(c -> c.watching).toList();
    }

    // Beside those that have not answered: one of them may, and so may be the first to be heard again.
    private void watchBeside() {
        List<Call> waiting = watches();
        waiting.stream()
                .limit(Math.max(0, waiting.size() - UNANSWERED_MOST + 1))
                .forEach(Call::drop);
        watch = new Call("/api/targets?watch=1&from=" + versions.inUse(), true);
        watch.open();
    }

    private static long millis() {
        return System.nanoTime() / 1_000_000;
    }

    @Override
    public void fetch() {
        new Call("/api/targets", false).open();
    }

    /**
     * Goes on at another address: what is asked here is asked anew there, at once. The list stays in use
     * meanwhile, and nobody is told of a failure, for none has happened. The whole list is asked for: another
     * discovery may count its versions in another way.
     */
    public void moveTo(InetSocketAddress other) {
        if (other.equals(address)) {
            return;
        }
        address = other;
        versions.forget();
        for (Call call : List.copyOf(calls)) {
            call.drop();
            if (!call.watching) {
                fetch();
            }
        }
        if (wanted) {
            watch(true);
        }
    }

    /** A call under way; the answer of a watch goes on until its connection ends. */
    private final class Call extends SimpleChannelInboundHandler<ByteBuf> {
        private final String uri;
        private final boolean watching;
        private Channel channel;
        private final long asked = versions.inUse();
        private final long begun = millis();
        private long heardAt = begun;
        private ReadBeforeTimers.Handle patience;
        private boolean answered; // the module has had what its call was for
        private boolean over;

        Call(String uri, boolean watching) {
            this.uri = uri;
            this.watching = watching;
        }

        void open() {
            calls.add(this);
            heard();
            ChannelFuture connected = new Bootstrap()
                    .group(loop)
                    .channel(NioSocketChannel.class)
                    .option(ChannelOption.TCP_NODELAY, true)
                    .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_MS)
                    .handler(new ChannelInitializer<Channel>() {
                        @Override
                        protected void initChannel(Channel ch) {
                            ch.pipeline()
                                    .addLast(
                                            new HttpClientCodec(),
                                            new Bodies(),
                                            new EndpointListDecoder(LINE_MOST),
                                            Call.this);
                        }
                    })
                    .connect(address);
            channel = connected.channel();
            channel.closeFuture().addListener(closed -> ended(false));
            connected.addListener(done -> {
                if (done.isSuccess()) {
                    DefaultFullHttpRequest ask = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, uri);
                    ask.headers().set(HttpHeaderNames.HOST, Addresses.text(address));
                    channel.writeAndFlush(ask);
                } else {
                    ended(false);
                }
            });
        }

        /** Ends it, and nobody is told. */
        void drop() {
            over = true;
            calls.remove(this);
            if (watch == this) {
                watch = null;
            }
            patience.cancel();
            channel.close();
        }

        // Guards against a discovery that is cut off: its connection stays open and silent.
        private void heard() {
            heardAt = millis();
            if (patience != null) {
                patience.cancel();
            }
            // What was said while this process stood still lies in the socket: it is read first.
            patience = ReadBeforeTimers.after(loop, silence.most(answered), TimeUnit.MILLISECONDS, this::silent);
        }

        private void silent() {
            if (over) {
                return;
            }
            if (watching && !answered && silence.patient(millis() - begun)) {
                patience = ReadBeforeTimers.after(loop, silence.most(false), TimeUnit.MILLISECONDS, this::silent);
                if (watch == this) {
                    watchBeside();
                }
            } else {
                ended(true);
            }
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, ByteBuf line) {
            String text = line.toString(StandardCharsets.UTF_8).strip();
            if (over) {
                return;
            }
            heard();
            EndpointUpdate targets;
            if (text.isEmpty()) {
                if (answered || !watching) {
                    return; // nothing has changed
                }
                targets = new EndpointUpdate(versions.inUse(), false, List.of());
            } else {
                try {
                    targets = EndpointUpdateReader.parse(text, boot);
                } catch (IllegalArgumentException e) {
                    // A change may be lost with it: the next watch, from the last good version, brings it.
                    log.accept("discovery sent a list that can't be read: " + e.getMessage());
                    ended(false);
                    return;
                }
            }
            VersionTracker.Verdict verdict = versions.judge(targets.rev(), targets.all(), asked, !answered);
            if (verdict == VersionTracker.Verdict.CONFUSED) {
                if (watch != this) { // one is under way that will say it
                    ended(false);
                    return;
                }
                log.accept("discovery went back from version " + versions.inUse() + " to " + targets.rev()
                        + ": asking for the whole list");
                versions.forget();
                restart(silence.pause(millis(), true));
                return;
            }
            boolean first = !answered;
            answered = true;
            heard();
            long toldFor = 0;
            if (watching && first) {
                watch = this;
                watches().stream().filter(c -> c != this).forEach(Call::drop);
                toldFor = silence.toldFor(heardAt) * 1000;
            }
            if (verdict == VersionTracker.Verdict.OLD) { // the call has done what it was for; nothing is undone
                targets = new EndpointUpdate(versions.inUse(), false, List.of());
            }
            news.list(targets.all() ? ListKind.COMPLETE : ListKind.PARTIAL, targets, toldFor);
            if (!watching) {
                drop();
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            if (cause instanceof DecoderException) {
                log.accept("discovery sent what is no list: " + cause.getMessage());
            }
            channel.close();
        }

        private void ended(boolean silent) {
            if (over) {
                return;
            }
            boolean last = watch == this;
            drop();
            if (!last && watching) {
                return; // another one is under way in its place
            }
            if (watching && answered) {
                silence.broke(millis(), heardAt, silent);
            }
            long pause = watching ? silence.next(millis(), answered, silent) : WatchTimeout.TELL;
            if (pause != WatchTimeout.TELL) {
                restart(pause);
            } else if (!pushed) {
                news.list(ListKind.FAILED, null, 0);
            }
        }

        // Nobody is told: the list stays in use meanwhile.
        private void restart(long pause) {
            drop();
            if (pause == 0) {
                again();
            } else {
                loop.schedule(this::again, pause, TimeUnit.MILLISECONDS);
            }
        }

        private void again() {
            if (watch == null && wanted) {
                watch(true);
            }
        }
    }

    /** Passes the body of a 200 answer on, and ends the call with it, or at once for any other. */
    private static final class Bodies extends MessageToMessageDecoder<HttpObject> {
        @Override
        protected void decode(ChannelHandlerContext context, HttpObject part, List<Object> out) {
            if (part instanceof HttpResponse answer
                    && (answer.status().code() != 200 || !answer.decoderResult().isSuccess())) {
                context.close();
                return;
            }
            if (part instanceof HttpContent content && context.channel().isActive()) {
                if (content.content().isReadable()) {
                    out.add(content.content().retain());
                }
                if (part instanceof LastHttpContent) {
                    // Later: what it brought is still to be read. A list that is not whole by then is none.
                    context.channel().eventLoop().execute(context::close);
                }
            }
        }
    }
}
