package loadbalancer.downstream.http1;

import io.netty.channel.ServerChannelRecvByteBufAllocator;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.io.IOException;
import java.nio.channels.ServerSocketChannel;
import java.util.List;

/**
 * The listening socket for clients. In each event loop iteration it accepts all waiting connections for which there is
 * capacity: a connection that waits in the backlog is not read, so neither the arrival of its request nor a close by
 * the client is noticed. A failed accept is reported to the {@link AcceptController}; Netty alone would stop accepting
 * for a second. Must be used on the event loop.
 */
final class AcceptingChannel extends NioServerSocketChannel {
    /** Decides how many connections are accepted, and is notified of failed accepts. */
    interface AcceptController {
        /** Whether another connection may be accepted in a pass that has accepted {@code acceptedInPass} so far. */
        boolean mayAccept(int acceptedInPass);

        /** An accept has failed while the listener was open; the connection, if any, is still in the backlog. */
        void acceptFailed(IOException cause);
    }

    private final AcceptController acceptController;

    /** {@code inherited}: a socket that is shared with other processes; null to open a new one. */
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

    // An allocator that counts bytes would end each pass after one accept, since an accept reads no bytes.
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
