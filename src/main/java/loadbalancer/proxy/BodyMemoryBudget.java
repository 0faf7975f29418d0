package loadbalancer.proxy;

/**
 * The memory that clients' bodies may take together, while they come in and until they are answered. Guards
 * against a heap that many connections fill at once: each of them keeps to its own limit.
 */
public final class BodyMemoryBudget {
    /** Bytes of bodies of clients that a node holds together, whatever front they came by. */
    public static final long CLIENTS = 6 << 20;

    private final long most;
    private long held;

    public BodyMemoryBudget(long most) {
        this.most = most;
    }

    /** False where there is no room: nothing is taken then. */
    public boolean tryReserve(int bytes) {
        if (held + bytes > most) {
            return false;
        }
        held += bytes;
        return true;
    }

    public void release(int bytes) {
        held -= bytes;
    }
}
