package loadbalancer.lifecycle;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioDomainSocketChannel;
import io.netty.channel.socket.nio.NioServerDomainSocketChannel;
import io.netty.handler.codec.LineBasedFrameDecoder;
import io.netty.handler.codec.string.StringDecoder;
import io.netty.handler.codec.string.StringEncoder;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.net.UnixDomainSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.function.Consumer;
import loadbalancer.lifecycle.HotRestart.Step;

/**
 * Exchanges the messages of a hot restart between a process and its successor, one message per line, over a Unix-domain
 * socket at a path that both processes know. The kernel closes the connections of a process that ends, so a closed
 * connection means that the process at the other end has ended.
 *
 * <p>All methods have to be called on the event loop. If the socket can't be used, neither process detects the other
 * one, and both run independently.
 */
public final class HotRestartChannel {
    private static final String PROTOCOL_VERSION = "1";
    private static final int MAX_LINE_BYTES = 1_024;
    /** The address of a Unix-domain socket holds little more than 100 bytes. */
    private static final int MAX_PATH_LENGTH = 100;

    private final EventLoop loop;
    private final Path sharedPath;
    private final Consumer<Step> stepListener;
    private final Consumer<String> log;
    private final HotRestart hotRestart = new HotRestart();
    private Channel predecessor; // null while there is none
    private boolean readyAnnounced;

    /**
     * Creates a channel that is not yet connected.
     *
     * @param sharedPath the socket path at which the serving process listens and its successor connects
     * @param stepListener called on the event loop with each action that is required of this process
     * @param log receives log lines; must not block
     */
    public HotRestartChannel(EventLoop loop, Path sharedPath, Consumer<Step> stepListener, Consumer<String> log) {
        this.loop = loop;
        this.sharedPath = sharedPath;
        this.stepListener = stepListener;
        this.log = log;
    }

    /** Connects to a predecessor; {@code onConnected} is always called, with whether a predecessor exists. */
    public void connect(Consumer<Boolean> onConnected) {
        if (!Files.exists(sharedPath)) {
            onConnected.accept(false);
            return;
        }
        ChannelFuture connectFuture = new Bootstrap()
                .group(loop)
                .channel(NioDomainSocketChannel.class)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline().addLast(new LineBasedFrameDecoder(MAX_LINE_BYTES), new StringEncoder());
                    }
                })
                .connect(UnixDomainSocketAddress.of(sharedPath));
        connectFuture.addListener(result -> {
            if (loop.inEventLoop()) {
                connectCompleted(connectFuture, onConnected);
            } else { // Netty reports a failure to create the socket on another thread
                loop.execute(() -> connectCompleted(connectFuture, onConnected));
            }
        });
    }

    private void connectCompleted(ChannelFuture connectFuture, Consumer<Boolean> onConnected) {
        if (connectFuture.isSuccess()) {
            predecessor = connectFuture.channel();
            predecessor.closeFuture().addListener(closed -> {
                predecessor = null;
                stepListener.accept(Step.NO_PEER_LEFT);
            });
            predecessor.writeAndFlush(HotRestart.HELLO + " " + PROTOCOL_VERSION + "\n");
        }
        onConnected.accept(connectFuture.isSuccess()); // failure: the socket file belongs to a process that has ended
    }

    /** Returns whether another process shares the resources of this process. */
    public boolean hasPeer() {
        return predecessor != null || hotRestart.hasPeer();
    }

    /** Notifies the predecessor that this process accepts clients, and listens for successors. Idempotent. */
    public void announceReady() {
        if (readyAnnounced) {
            return;
        }
        readyAnnounced = true;
        listen();
        if (predecessor != null) {
            predecessor.writeAndFlush(HotRestart.READY + "\n");
        }
    }

    // Binds to a path of its own and then renames it, so that the shared path always refers to a listening process.
    private void listen() {
        Path ownPath = sharedPath.resolveSibling(
                sharedPath.getFileName() + "." + ProcessHandle.current().pid());
        if (ownPath.toString().length() > MAX_PATH_LENGTH) {
            log.accept("event=hot_restart_unavailable reason=socket path too long: " + ownPath);
            return;
        }
        try {
            Files.deleteIfExists(ownPath);
        } catch (IOException e) {
            log.accept("event=hot_restart_unavailable reason=" + e);
            return;
        }
        new ServerBootstrap()
                .group(loop, loop)
                .channel(NioServerDomainSocketChannel.class)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline()
                                .addLast(
                                        new LineBasedFrameDecoder(MAX_LINE_BYTES),
                                        new StringDecoder(),
                                        new SuccessorHandler());
                    }
                })
                .bind(UnixDomainSocketAddress.of(ownPath))
                .addListener(bound -> moveToSharedPath(ownPath, bound));
    }

    private void moveToSharedPath(Path ownPath, Future<?> bound) {
        try {
            if (!bound.isSuccess()) {
                throw new IOException(bound.cause());
            }
            Files.move(ownPath, sharedPath, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
        } catch (IOException e) {
            log.accept("event=hot_restart_unavailable reason=" + e);
        }
    }

    /** Handles the connection of a process that may succeed this process. */
    private final class SuccessorHandler extends SimpleChannelInboundHandler<String> {
        @Override
        protected void channelRead0(ChannelHandlerContext context, String line) {
            stepListener.accept(hotRestart.received(context.channel(), line));
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            stepListener.accept(hotRestart.disconnected(context.channel()));
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
