package junctionhead.net;

/**
 * Counts the sockets of this process against its limit on descriptors. Guards against accepts and connects
 * that fail for want of descriptors: a reserve stays for what is not counted here (jars, the selector,
 * discovery, the listener), and a part for the upstreams, whatever clients open.
 */
final class Descriptors {
    private static final int RESERVE = 64;
    private static final double CLIENTS_SHARE = 0.65;
    private final int most;
    private final int clientsMost;
    private int open;
    private int clients;

    Descriptors(int limit) {
        this.most = Math.max(2, limit - Math.min(RESERVE, limit / 2));
        this.clientsMost = Math.max(2, (int) (most * CLIENTS_SHARE));
    }

    void opened() {
        open++;
    }

    void closed() {
        open--;
    }

    void clientOpened() {
        open++;
        clients++;
    }

    void clientClosed() {
        open--;
        clients--;
    }

    boolean full() {
        return open >= most;
    }

    /** Whether no further client should be let in. */
    boolean crowded() {
        return clients >= clientsMost || full();
    }
}
