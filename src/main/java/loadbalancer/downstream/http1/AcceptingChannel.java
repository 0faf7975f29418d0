package loadbalancer.downstream.http1;

import io.netty.channel.ServerChannelRecvByteBufAllocator;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.io.IOException;
import java.nio.channels.ServerSocketChannel;
import java.util.List;

/**
 * The listening socket for clients. In each pass over the sockets it accepts the connections that wait, as long as
 * there is capacity: one that waits is not read, so neither the time of its request nor the client's close is
 * known. A failed accept is reported to the {@link AcceptController}; Netty alone would stop accepting for a second. On
 * the event loop.
 */
final class AcceptingChannel extends NioServerSocketChannel {
    /** Limits accepting, and is notified of failures. */
    interface AcceptController {
        /** Whether another connection may be accepted in this pass, which has accepted so many. */
        boolean mayAccept(int acceptedInPass);

        /** An accept has failed while the listener was open; the connection, if any, still waits. */
        void acceptFailed(IOException cause);
    }

    private final AcceptController acceptController;

    /** {@code inherited}: a socket that other processes accept from as well; null for an own one. */
    static AcceptingChannel of(ServerSocketChannel inherited, AcceptController acceptController) {
        return inherited == null
                ? new AcceptingChannel(acceptController)
                : new AcceptingChannel(inherited, acceptController);
    }

    private AcceptingChannel(AcceptController acceptController) {
        this.acceptController = acceptController;
        removeAcceptLimit();
    }

    private AcceptingChannel(ServerSocketChannel inherited, AcceptController acceptController) {
        super(inherited);
        this.acceptController = acceptController;
        removeAcceptLimit();
    }

    // An allocator that counts bytes ends each pass behind one accept, which brings none.
    private void removeAcceptLimit() {
        config().setRecvByteBufAllocator(new ServerChannelRecvByteBufAllocator().maxMessagesPerRead(Integer.MAX_VALUE));
    }

    @Override
    protected int doReadMessages(List<Object> accepted) throws Exception {
        if (!acceptController.mayAccept(accepted.size())) {
            return 0;
        }
        try {
            return super.doReadMessages(accepted);
        } catch (IOException e) {
            if (!isOpen()) {
                throw e;
            }
            acceptController.acceptFailed(e);
            return 0;
        }
    }
}
