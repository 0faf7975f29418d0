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
 * A GET request to the discovery service on a connection of its own. A fetch is answered by one list. The response to a
 * watch continues with changes and heartbeats until the connection ends. The call reports events to its
 * {@link Listener} until it is cancelled. All methods run on the event loop.
 */
final class DiscoveryCall extends SimpleChannelInboundHandler<ByteBuf> {
    /** The kind of a call. */
    enum Kind {
        FETCH,
        WATCH
    }

    /** Receives the events of a call. Runs on the event loop. */
    interface Listener {
        /** A JSON value was received, or a heartbeat if {@code json} is empty. */
        void onReceived(DiscoveryCall call, String json);

        /** Nothing was received within {@link WatchTimeout#maxSilenceMillis}. */
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

    /** {@code versionInUse}: the version of the list in use; a watch reports the changes after it. */
    DiscoveryCall(Kind kind, long versionInUse, WatchTimeout timeout, Listener listener, Consumer<String> log) {
        this.kind = kind;
        this.versionAtRequest = versionInUse;
        this.timeout = timeout;
        this.listener = listener;
        this.log = log;
    }

    /** Returns the time in ms of the clock that is used for {@link WatchTimeout}. */
    static long nowMillis() {
        return System.nanoTime() / 1_000_000;
    }

    /** Connects and sends the request. */
    void open(EventLoop eventLoop, InetSocketAddress address) {
        loop = eventLoop;
        recordReceived();
        // The bootstrap does not create the socket, as it reports a failure to do so on another thread.
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

    /** Closes the connection without notifying the listener. */
    void cancel() {
        cancelled = true;
        silenceTimer.cancel();
        if (channel != null) { // null if the socket could not be created
            channel.close();
        }
    }

    boolean isWatch() {
        return kind == Kind.WATCH;
    }

    /** Returns whether a list was received, or the information that it has not changed. */
    boolean isAnswered() {
        return answered;
    }

    /** Records that a list was received, or the information that it has not changed. */
    void markAnswered() {
        answered = true;
        recordReceived();
    }

    /** Returns the version that was in use when the call was made. */
    long versionAtRequest() {
        return versionAtRequest;
    }

    /** Returns when data was last received; initially when the call was made. */
    long lastReceivedAtMillis() {
        return lastReceivedAtMillis;
    }

    long ageMillis() {
        return nowMillis() - startedAtMillis;
    }

    /** Starts another period in which the service may be silent. */
    void restartSilenceTimer() {
        // After a stall of this process, data that arrived during the stall is read before the timer fires.
        silenceTimer = ReadBeforeTimers.schedule(
                loop, timeout.maxSilenceMillis(answered), TimeUnit.MILLISECONDS, this::silenceTimeoutElapsed);
    }

    // Detects a discovery service that is unreachable after a network failure: its connection stays open and silent.
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
