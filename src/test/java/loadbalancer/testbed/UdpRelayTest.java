package loadbalancer.testbed;

import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

class UdpRelayTest {
    /** A run closes it as it ends, and whoever holds the run does so once more, after its loops. */
    @Test
    @Timeout(60)
    void aSecondCloseAfterTheEventLoopEndedDoesNothing() throws InterruptedException {
        EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        UdpRelay relay = new UdpRelay(
                group.next(),
                new InetSocketAddress(InetAddress.getLoopbackAddress(), 9),
                new RelayScript(1, RelayScript.Faults.NONE));
        relay.open();
        relay.close();
        assertTrue(group.shutdownGracefully(0, 1, TimeUnit.SECONDS).await(30, TimeUnit.SECONDS));
        relay.close();
    }
}
