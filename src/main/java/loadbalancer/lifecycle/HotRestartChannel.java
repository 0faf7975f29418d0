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
import java.io.IOException;
import java.net.UnixDomainSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.function.Consumer;
import loadbalancer.lifecycle.HotRestart.Step;

/**
 * The talk between a process and the one that succeeds it, over a Unix-domain socket in the folder that both
 * share. Each end of a connection is the end of a process, told by the kernel. All but the constructor runs
 * on the event loop; where the socket can't be had, nobody is told anything, and both go on alone.
 */
public final class HotRestartChannel {
    private static final String VERSION = "1";
    private static final int LINE_MOST = 1_024;
    private static final int PATH_MOST = 100; // bytes: what the address of such a socket holds

    private final EventLoop loop;
    private final Path path;
    private final Consumer<Step> steps;
    private final Consumer<String> log;
    private final HotRestart succession = new HotRestart();
    private Channel predecessor;
    private boolean ready;

    /** {@code steps} is told what to do, on the loop; {@code log} must not block. */
    public HotRestartChannel(EventLoop loop, Path path, Consumer<Step> steps, Consumer<String> log) {
        this.loop = loop;
        this.path = path;
        this.steps = steps;
        this.log = log;
    }

    /** Looks for a predecessor; {@code then} runs in any case, with whether there is one. */
    public void begin(Consumer<Boolean> then) {
        if (!Files.exists(path)) {
            then.accept(false);
            return;
        }
        ChannelFuture connected = new Bootstrap()
                .group(loop)
                .channel(NioDomainSocketChannel.class)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline().addLast(new LineBasedFrameDecoder(LINE_MOST), new StringEncoder());
                    }
                })
                .connect(UnixDomainSocketAddress.of(path));
        connected.addListener(done -> {
            if (done.isSuccess()) {
                predecessor = connected.channel();
                predecessor.closeFuture().addListener(closed -> {
                    predecessor = null;
                    steps.accept(Step.ALONE);
                });
                predecessor.writeAndFlush(HotRestart.HELLO + " " + VERSION + "\n");
            }
            then.accept(done.isSuccess()); // refused: left behind by a process that is gone
        });
    }

    /** Whether another process shares what this one may use. */
    public boolean hasPeer() {
        return predecessor != null || succession.hasPeer();
    }

    /** This process takes clients: the predecessor is told, and successors find this one from here on. */
    public void ready() {
        if (ready) {
            return;
        }
        ready = true;
        listen();
        if (predecessor != null) {
            predecessor.writeAndFlush(HotRestart.READY + "\n");
        }
    }

    private void listen() {
        Path own = path.resolveSibling(
                path.getFileName() + "." + ProcessHandle.current().pid());
        if (own.toString().length() > PATH_MOST) {
            log.accept("upgrades go by signals alone: too long a path: " + own);
            return;
        }
        try {
            Files.deleteIfExists(own);
        } catch (IOException e) {
            log.accept("upgrades go by signals alone: " + e);
            return;
        }
        new ServerBootstrap()
                .group(loop, loop)
                .channel(NioServerDomainSocketChannel.class)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline()
                                .addLast(new LineBasedFrameDecoder(LINE_MOST), new StringDecoder(), new Successor());
                    }
                })
                .bind(UnixDomainSocketAddress.of(own))
                .addListener(bound -> {
                    try {
                        if (!bound.isSuccess()) {
                            throw new IOException(bound.cause());
                        }
                        Files.move(own, path, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
                    } catch (IOException e) {
                        log.accept("upgrades go by signals alone: " + e);
                    }
                });
    }

    /** A process that may succeed this one. */
    private final class Successor extends SimpleChannelInboundHandler<String> {
        @Override
        protected void channelRead0(ChannelHandlerContext context, String line) {
            steps.accept(succession.received(context.channel(), line));
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            steps.accept(succession.disconnected(context.channel()));
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
