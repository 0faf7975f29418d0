package loadbalancer.discovery;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelException;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.DecoderException;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import loadbalancer.eventloop.ReadBeforeTimers;
import loadbalancer.proxy.Addresses;

/**
 * One GET request to the discovery service, on a connection of its own: either a fetch, answered by one list, or a
 * watch, whose response goes on with changes and heartbeats until the connection ends. It reports what happens to its
 * {@link Listener}, and nothing more once it is cancelled. All methods run on the event loop.
 */
final class DiscoveryCall extends SimpleChannelInboundHandler<ByteBuf> {
    /** What a call is for. */
    enum Kind {
        FETCH,
        WATCH
    }

    /** What a call reports. Runs on the event loop. */
    interface Listener {
        /** A JSON value was received, or a heartbeat if {@code json} is empty. */
        void onReceived(DiscoveryCall call, String json);

        /** Nothing was received for as long as {@link WatchTimeout#maxSilenceMillis} allows. */
        void onSilence(DiscoveryCall call);

        /** The connection could not be opened, or was closed. */
        void onDisconnect(DiscoveryCall call);
    }

    private static final String FETCH_URI = "/api/targets";
    private static final String WATCH_URI = FETCH_URI + "?watch=1&from=";
    private static final int MAX_LIST_BYTES = 4 << 20;
    private static final int CONNECT_TIMEOUT_MILLIS = 2_000;

    private final Kind kind;
    private final long versionAtRequest;
    private final WatchTimeout timeout;
    private final Listener listener;
    private final Consumer<String> log;
    private final long startedAtMillis = nowMillis();
    private long lastReceivedAtMillis = startedAtMillis;
    private EventLoop loop;
    private Channel channel;
    private ReadBeforeTimers.Handle silenceTimer;
    private boolean answered;
    private boolean cancelled;

    /** {@code versionInUse}: the version of the list in use, from which a watch goes on. */
    DiscoveryCall(Kind kind, long versionInUse, WatchTimeout timeout, Listener listener, Consumer<String> log) {
        this.kind = kind;
        this.versionAtRequest = versionInUse;
        this.timeout = timeout;
        this.listener = listener;
        this.log = log;
    }

    /** The time in ms of the clock that {@link WatchTimeout} is given. */
    static long nowMillis() {
        return System.nanoTime() / 1_000_000;
    }

    /** Connects and sends the request. */
    void open(EventLoop eventLoop, InetSocketAddress address) {
        loop = eventLoop;
        recordReceived();
        // Not by the bootstrap: it reports a socket that can't be created on another thread.
        NioSocketChannel socket;
        try {
            socket = new NioSocketChannel();
        } catch (ChannelException e) {
            loop.execute(this::disconnected);
            return;
        }
        channel = socket;
        ChannelFuture connected = new Bootstrap()
                .group(loop)
                .channelFactory(() -> socket)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel connection) {
                        connection
                                .pipeline()
                                .addLast(
                                        new HttpClientCodec(),
                                        new ResponseBodyDecoder(),
                                        new EndpointListDecoder(MAX_LIST_BYTES),
                                        DiscoveryCall.this);
                    }
                })
                .connect(address);
        channel.closeFuture().addListener(closed -> disconnected());
        connected.addListener(done -> {
            if (done.isSuccess()) {
                sendRequest(address);
            } else {
                disconnected();
            }
        });
    }

    private void sendRequest(InetSocketAddress address) {
        String uri = kind == Kind.WATCH ? WATCH_URI + versionAtRequest : FETCH_URI;
        DefaultFullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, uri);
        request.headers().set(HttpHeaderNames.HOST, Addresses.text(address));
        channel.writeAndFlush(request);
    }

    private void disconnected() {
        if (!cancelled) {
            listener.onDisconnect(this);
        }
    }

    /** Closes the connection; the listener is not notified of it. */
    void cancel() {
        cancelled = true;
        silenceTimer.cancel();
        if (channel != null) { // else its socket could not be created
            channel.close();
        }
    }

    boolean isWatch() {
        return kind == Kind.WATCH;
    }

    /** Whether it has brought what it was made for: a list, or that nothing has changed. */
    boolean isAnswered() {
        return answered;
    }

    /** It has brought what it was made for. */
    void markAnswered() {
        answered = true;
        recordReceived();
    }

    /** The version in use when the call was made. */
    long versionAtRequest() {
        return versionAtRequest;
    }

    /** When something was received last, or the call was made. */
    long lastReceivedAtMillis() {
        return lastReceivedAtMillis;
    }

    long ageMillis() {
        return nowMillis() - startedAtMillis;
    }

    /** Waits once more for as long as the service may be silent. */
    void restartSilenceTimer() {
        // After a stall of this process, what was received meanwhile is read before the timer fires.
        silenceTimer = ReadBeforeTimers.schedule(
                loop, timeout.maxSilenceMillis(answered), TimeUnit.MILLISECONDS, this::silenceTimeoutElapsed);
    }

    // Guards against a discovery service that is cut off by the network: its connection stays open and silent.
    private void recordReceived() {
        lastReceivedAtMillis = nowMillis();
        if (silenceTimer != null) {
            silenceTimer.cancel();
        }
        restartSilenceTimer();
    }

    private void silenceTimeoutElapsed() {
        if (!cancelled) {
            listener.onSilence(this);
        }
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, ByteBuf value) {
        String json = value.toString(StandardCharsets.UTF_8).strip();
        if (!cancelled) {
            recordReceived();
            listener.onReceived(this, json);
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        if (cause instanceof DecoderException) {
            log.accept("event=discovery_protocol_error reason=" + cause.getMessage());
        }
        channel.close();
    }
}
