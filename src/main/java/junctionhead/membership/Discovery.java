package junctionhead.membership;

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
import io.netty.handler.codec.LineBasedFrameDecoder;
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
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import junctionhead.Policy;
import junctionhead.Policy.ListKind;
import junctionhead.SettingsReader;
import junctionhead.core.Addresses;
import junctionhead.core.Membership;
import junctionhead.core.Targets;
import junctionhead.loop.SocketsFirst;

/**
 * Asks discovery for the list and watches its changes: where discovery is asked, only as the module wishes;
 * where lists are pushed, always.
 */
public final class Discovery implements Membership {
    private static final int LINE_MOST = 4 << 20;
    private static final int CONNECT_MS = 2_000;
    private static final long SILENCE_MS = 7_000;   // of a call that has brought nothing yet
    // A watch holds a line every 2 s. What changed counts as told after 6 s, heard of or not: with 7 s here,
    // a drain right after a cut was learned too late to keep its grace.
    private static final long MISSING_MS = 5_000;
    private static final long AGAIN_MS = 500;       // after a failure, where lists are pushed

    private final EventLoop loop;
    private final Set<Call> calls = new LinkedHashSet<>();      // under way
    private InetSocketAddress address;
    private final SettingsReader.Boot boot;
    private final BiConsumer<ListKind, Targets> news;
    private final Consumer<String> log;
    private final boolean pushed;
    private long rev;
    private Call watch;
    private boolean wanted;                         // a watch, whether one is open or not

    /** {@code news} gets each list and change; FAILED and null where a call or the watch has failed. */
    public Discovery(EventLoop loop, InetSocketAddress address, SettingsReader.Boot boot, long rev,
            BiConsumer<ListKind, Targets> news, Consumer<String> log) {
        this.loop = loop;
        this.address = address;
        this.boot = boot;
        this.rev = rev;
        this.news = news;
        this.log = log;
        this.pushed = boot.settings().discovery() == Policy.Discovery.PUSH;
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
        Call earlier = watch;
        watch = on ? new Call("/api/targets?watch=1&from=" + rev, true) : null;
        if (earlier != null) {
            earlier.drop();
        }
        if (on) {
            watch.open();
        }
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
        rev = 0;
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
        private SocketsFirst.Handle silence;
        private boolean answered;                   // the module has had what its call was for
        private boolean over;

        Call(String uri, boolean watching) {
            this.uri = uri;
            this.watching = watching;
        }

        void open() {
            calls.add(this);
            heard();
            ChannelFuture connected = new Bootstrap().group(loop).channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_MS)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel ch) {
                        ch.pipeline().addLast(new HttpClientCodec(), new Bodies(Call.this),
                            new LineBasedFrameDecoder(LINE_MOST), Call.this);
                    }
                }).connect(address);
            channel = connected.channel();
            channel.closeFuture().addListener(closed -> ended());
            connected.addListener(done -> {
                if (done.isSuccess()) {
                    DefaultFullHttpRequest ask =
                        new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, uri);
                    ask.headers().set(HttpHeaderNames.HOST,
                        Addresses.text(address));
                    channel.writeAndFlush(ask);
                } else {
                    ended();
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
            silence.cancel();
            channel.close();
        }

        // Guards against a discovery that is cut off: its connection stays open and silent.
        private void heard() {
            if (silence != null) {
                silence.cancel();
            }
            // What was said while this process stood still lies in the socket: it is read first.
            silence = SocketsFirst.after(loop, answered && watching ? MISSING_MS : SILENCE_MS,
                TimeUnit.MILLISECONDS, this::ended);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, ByteBuf line) {
            String text = line.toString(StandardCharsets.UTF_8).strip();
            if (over) {
                return;
            }
            heard();
            Targets targets;
            if (text.isEmpty()) {
                if (answered || !watching) {
                    return;                         // nothing has changed
                }
                targets = new Targets(rev, false, List.of());
            } else {
                try {
                    targets = TargetsReader.parse(text, boot);
                } catch (IllegalArgumentException e) {
                    // A change may be lost with it: the next watch, from the last good version, brings it.
                    log.accept("discovery sent a list that can't be read: " + e.getMessage());
                    ended();
                    return;
                }
            }
            rev = targets.rev();
            answered = true;
            heard();
            news.accept(targets.all() ? ListKind.COMPLETE : ListKind.PARTIAL, targets);
            if (!watching) {
                drop();
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            channel.close();
        }

        private void ended() {
            if (over) {
                return;
            }
            drop();
            if (!pushed) {
                news.accept(ListKind.FAILED, null);
            } else if (watching) {
                loop.schedule(() -> {
                    if (watch == null) {
                        watch(true);
                    }
                }, AGAIN_MS, TimeUnit.MILLISECONDS);
            }
        }
    }

    /** Passes the body of a 200 answer on, and ends the call for any other. */
    private static final class Bodies extends MessageToMessageDecoder<HttpObject> {
        private final Call call;

        Bodies(Call call) {
            this.call = call;
        }

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
                    if (!call.watching) {           // the list may end without a line end
                        out.add(context.alloc().buffer(1).writeByte('\n'));
                    } else {
                        context.close();
                    }
                }
            }
        }
    }
}
