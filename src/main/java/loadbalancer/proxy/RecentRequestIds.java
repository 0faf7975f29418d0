package loadbalancer.proxy;

import java.lang.invoke.MethodHandles;
import java.lang.invoke.VarHandle;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.util.ArrayList;
import java.util.List;
import loadbalancer.policy.Hashing;

/**
 * The ids of requests that a server may have run, for some time after they have ended: a request whose id comes again
 * must not run again, although its client has disconnected and nothing else is known of it.
 *
 * <p>A table of fixed size in one buffer, which another process may map to look ids up at the same time. Where a part
 * of the table is full, the entry that expires first is replaced. One thread writes.
 */
public final class RecentRequestIds {
    /** How long an id is remembered: ten times the longest deadline of the operators' classes. */
    static final long RETENTION_MICROS = 30_000_000;

    private static final int SLOTS = 1 << 15; // of all; a power of two
    private static final int SLOTS_PER_ID = 16; // in which an id may be
    private static final int SLOT_BYTES = 2 * Long.BYTES; // the id's hash, and when it expires
    /** The size of a table, in bytes. */
    public static final int TABLE_BYTES = SLOTS * SLOT_BYTES;

    private static final VarHandle LONG = MethodHandles.byteBufferViewVarHandle(long[].class, ByteOrder.nativeOrder());

    private final List<ByteBuffer> otherTables = new ArrayList<>();
    private ByteBuffer table = ByteBuffer.allocateDirect(TABLE_BYTES);

    /** Uses a table that other processes can map; to be called before the first id is added. */
    public void useTable(ByteBuffer shared) {
        table = shared;
    }

    /** Also looks ids up in the table of another process. */
    public void addOtherTable(ByteBuffer other) {
        otherTables.add(other);
    }

    /** Records that a server may run the request from now on. */
    void add(String id, long nowMicros) {
        long hash = hash(id);
        int slot = slotToWrite(hash, nowMicros);
        // Readers look at the expiry only where the hash fits.
        LONG.setRelease(table, slot + Long.BYTES, nowMicros + RETENTION_MICROS);
        LONG.setRelease(table, slot, hash);
    }

    /** Records that no server has run the request. */
    void remove(String id, long nowMicros) {
        int slot = find(table, hash(id), nowMicros);
        if (slot >= 0) {
            LONG.setRelease(table, slot + Long.BYTES, 0L);
        }
    }

    /** Whether a server may have run a request with that id, at this process or at another one. */
    boolean contains(String id, long nowMicros) {
        long hash = hash(id);
        return find(table, hash, nowMicros) >= 0
                || otherTables.stream().anyMatch(other -> find(other, hash, nowMicros) >= 0);
    }

    private static long hash(String id) {
        return Hashing.hash(id);
    }

    // Double hashing: the slots of two ids that share one differ otherwise.
    private static int slot(long hash, int attempt) {
        long step = hash >>> Integer.SIZE | 1;
        return (int) ((hash + attempt * step) & (SLOTS - 1)) * SLOT_BYTES;
    }

    private static long expiry(ByteBuffer table, int slot) {
        return (long) LONG.getAcquire(table, slot + Long.BYTES);
    }

    private int slotToWrite(long hash, long nowMicros) {
        int known = find(table, hash, nowMicros);
        if (known >= 0) {
            return known;
        }
        int first = slot(hash, 0);
        for (int i = 1; i < SLOTS_PER_ID; i++) {
            int slot = slot(hash, i);
            first = expiry(table, slot) < expiry(table, first) ? slot : first;
        }
        return first;
    }

    private static int find(ByteBuffer table, long hash, long nowMicros) {
        for (int i = 0; i < SLOTS_PER_ID; i++) {
            int slot = slot(hash, i);
            if ((long) LONG.getAcquire(table, slot) == hash && expiry(table, slot) > nowMicros) {
                return slot;
            }
        }
        return -1;
    }
}
