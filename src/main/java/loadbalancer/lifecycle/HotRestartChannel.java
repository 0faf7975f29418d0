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
 * Carries the messages of a hot restart between a process and its successor, one line each, over a Unix-domain socket
 * at a path that both know. The kernel closes a process's connection when the process ends, so that a closed
 * connection stands for an ended process.
 *
 * <p>All but the constructor runs on the event loop. Where the socket can't be used, neither process learns of the
 * other and both go on independently.
 */
public final class HotRestartChannel {
    private static final String PROTOCOL_VERSION = "1";
    private static final int MAX_LINE_BYTES = 1_024;
    /** A Unix-domain socket's address holds little more than 100 bytes. */
    private static final int MAX_PATH_LENGTH = 100;

    private final EventLoop loop;
    private final Path sharedPath;
    private final Consumer<Step> stepListener;
    private final Consumer<String> log;
    private final HotRestart hotRestart = new HotRestart();
    private Channel predecessor; // null while there is none
    private boolean readyAnnounced;

    /**
     * Creates a channel that is not connected yet.
     *
     * @param sharedPath where the serving process listens and its successor connects
     * @param stepListener receives what this process has to do, on the loop
     * @param log must not block
     */
    public HotRestartChannel(EventLoop loop, Path sharedPath, Consumer<Step> stepListener, Consumer<String> log) {
        this.loop = loop;
        this.sharedPath = sharedPath;
        this.stepListener = stepListener;
        this.log = log;
    }

    /** Connects to a predecessor; {@code onConnected} is called in any case, with whether there is one. */
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
            } else { // a socket that can't be created is reported on another thread
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
        onConnected.accept(connectFuture.isSuccess()); // refused: the socket file of a process that has ended
    }

    /** Whether another process shares this one's resources. */
    public boolean hasPeer() {
        return predecessor != null || hotRestart.hasPeer();
    }

    /** This process accepts clients: notifies the predecessor and listens for successors. Idempotent. */
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

    // Binds beside the path and then moves there, so that the path always leads to a process that listens.
    private void listen() {
        Path ownPath = sharedPath.resolveSibling(
                sharedPath.getFileName() + "." + ProcessHandle.current().pid());
        if (ownPath.toString().length() > MAX_PATH_LENGTH) {
            log.accept("event=hot_restart_unavailable reason=too long a path: " + ownPath);
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

    /** The connection of a process that may succeed this one. */
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
