package junctionhead.front.http1;

/**
 * The memory that clients' bodies may take together, while they come in and until they are answered. Guards
 * against a heap that many connections fill at once: each of them keeps to its own limit.
 */
final class Room {
    private final long most;
    private long held;

    Room(long most) {
        this.most = most;
    }

    /** False where there is no room: nothing is taken then. */
    boolean take(int bytes) {
        if (held + bytes > most) {
            return false;
        }
        held += bytes;
        return true;
    }

    void give(int bytes) {
        held -= bytes;
    }
}
