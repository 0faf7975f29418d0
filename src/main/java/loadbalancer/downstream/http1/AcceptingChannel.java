package loadbalancer.downstream.http1;

import io.netty.channel.ServerChannelRecvByteBufAllocator;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.io.IOException;
import java.nio.channels.ServerSocketChannel;
import java.util.List;

/**
 * The clients' listener. In each pass over the sockets it accepts what waits in its queue, as long as there
 * is room: a connection that lies there is not read, so neither its request's time nor its client's close is
 * known. A failed accept is told to whoever keeps the listener; Netty would stop accepting for a second. On
 * the event loop.
 */
final class AcceptingChannel extends NioServerSocketChannel {
    /** What limits accepting, and hears of failures. */
    interface Gatekeeper {
        /** Whether another connection may be accepted in this pass, behind so many. */
        boolean mayAccept(int accepted);

        /** An accept has failed while the listener was open; the connection, if any, still waits. */
        void acceptFailed(IOException cause);
    }

    private final Gatekeeper gatekeeper;

    /** {@code inherited}: a listener that other processes read as well; null for one of its own. */
    static AcceptingChannel of(ServerSocketChannel inherited, Gatekeeper gatekeeper) {
        return inherited == null ? new AcceptingChannel(gatekeeper) : new AcceptingChannel(inherited, gatekeeper);
    }

    private AcceptingChannel(Gatekeeper gatekeeper) {
        this.gatekeeper = gatekeeper;
        acceptAll();
    }

    private AcceptingChannel(ServerSocketChannel inherited, Gatekeeper gatekeeper) {
        super(inherited);
        this.gatekeeper = gatekeeper;
        acceptAll();
    }

    // An allocator that counts bytes ends each pass behind one accept, which brings none.
    private void acceptAll() {
        config().setRecvByteBufAllocator(new ServerChannelRecvByteBufAllocator().maxMessagesPerRead(Integer.MAX_VALUE));
    }

    @Override
    protected int doReadMessages(List<Object> accepted) throws Exception {
        if (!gatekeeper.mayAccept(accepted.size())) {
            return 0;
        }
        try {
            return super.doReadMessages(accepted);
        } catch (IOException e) {
            if (!isOpen()) {
                throw e;
            }
            gatekeeper.acceptFailed(e);
            return 0;
        }
    }
}
