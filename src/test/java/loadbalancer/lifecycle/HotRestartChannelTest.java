package loadbalancer.lifecycle;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.StandardProtocolFamily;
import java.net.UnixDomainSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import loadbalancer.lifecycle.HotRestart.Step;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Checks the messages between predecessor and successor byte for byte, as the two may be of different versions. */
@Timeout(60)
class HotRestartChannelTest {
    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final BlockingQueue<Step> steps = new LinkedBlockingQueue<>();
    private final BlockingQueue<Boolean> predecessorFound = new LinkedBlockingQueue<>();

    @TempDir
    private Path directory;

    private HotRestartChannel createChannel(Path path) {
        return new HotRestartChannel(group.next(), path, steps::add, line -> {});
    }

    @AfterEach
    void close() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private static String read(SocketChannel channel, int bytes) throws IOException {
        ByteBuffer buffer = ByteBuffer.allocate(bytes);
        while (buffer.hasRemaining() && channel.read(buffer) >= 0) {
            continue;
        }
        return new String(buffer.array(), 0, buffer.position(), StandardCharsets.US_ASCII);
    }

    @Test
    void successorSendsHelloWithItsVersionAndThenReady() throws Exception {
        Path path = directory.resolve("s");
        try (ServerSocketChannel predecessor = ServerSocketChannel.open(StandardProtocolFamily.UNIX)) {
            predecessor.bind(UnixDomainSocketAddress.of(path));
            HotRestartChannel channel = createChannel(path);
            group.next().submit(() -> channel.connect(predecessorFound::add)).get();
            try (SocketChannel successor = predecessor.accept()) {
                assertEquals("hello 1\n", read(successor, 8));
                assertEquals(true, predecessorFound.take());
                group.next().submit(channel::announceReady).get();
                assertEquals("ready\n", read(successor, 6));
            }
            assertEquals(Step.NO_PEER_LEFT, steps.take());
        }
    }

    @Test
    void predecessorReportsStepsForHelloReadyAndDisconnect() throws Exception {
        Path path = directory.resolve("s");
        HotRestartChannel channel = createChannel(path);
        group.next().submit(() -> channel.connect(predecessorFound::add)).get();
        assertEquals(false, predecessorFound.take());
        group.next().submit(channel::announceReady).get();
        while (!Files.exists(path)) {
            Thread.sleep(5);
        }
        try (SocketChannel successor = SocketChannel.open(UnixDomainSocketAddress.of(path))) {
            successor.write(ByteBuffer.wrap("hello 1\nready\n".getBytes(StandardCharsets.US_ASCII)));
            assertEquals(Step.SHARE_RESOURCES, steps.take());
            assertEquals(Step.HAND_OVER, steps.take());
            assertTrue(channel.hasPeer());
        }
        assertEquals(Step.RESUME, steps.take());
    }
}
