package junctionhead.net;

/**
 * Counts the sockets of this process against its limit on descriptors. Guards against accepts and connects
 * that fail for want of descriptors: a reserve stays for what is not counted here (jars, the selector,
 * discovery, the listener).
 */
final class Descriptors {
    private static final int RESERVE = 64;
    private final int most;
    private int open;

    Descriptors(int limit) {
        this.most = Math.max(2, limit - Math.min(RESERVE, limit / 2));
    }

    void opened() {
        open++;
    }

    void closed() {
        open--;
    }

    boolean full() {
        return open >= most;
    }
}
