package loadbalancer.proxy;

import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.stream.Collectors;

/**
 * Limits the memory that messages in transit take over all connections of the process, in both directions. The reader
 * of a connection holds an account for all that it has read and that has not been written to another socket, whichever
 * part of the program it lies in; it asks {@link Account#allowance} before each read, and reads no more than that.
 *
 * <p>An account may hold a fixed fraction of the memory that is free (A. K. Choudhury and E. L. Hahne, "Dynamic Queue
 * Length Thresholds for Shared-Memory Packet Switches", 1998). The more accounts are large, the smaller each has to be,
 * and some memory always stays free for an account that held nothing so far. Every account may hold its minimum, which
 * is not taken from the others, so that each connection makes progress. All accounts together never hold more than
 * {@code maxBytes} and their minima.
 *
 * <p>The budget never waits and does no I/O. To be used on the event loop's thread.
 */
public final class MemoryBudget {
    /** The parts of the program that hold messages in transit, for the log. */
    public enum Holder {
        /** What has been read of a client: input, heads, and bodies until they are written. */
        CLIENT(MIN_ACCOUNT_BYTES),
        /** Short responses that have not been written to their client; they were read in an account of their own. */
        UNSENT_RESPONSE(MIN_RESPONSE_BYTES),
        /** Buffered bodies of requests over HTTP/3. */
        HTTP3_BODY(MIN_ACCOUNT_BYTES),
        /** What has been read of a response, until it is written to its client. */
        RESPONSE(MIN_RESPONSE_BYTES);

        private final int minBytes;

        Holder(int minBytes) {
            this.minBytes = minBytes;
        }
    }

    /** How much of the free memory an account may hold. */
    public enum Share {
        /** An eighth. */
        USUAL(8),
        /** As much as stays free: of input behind which the close of a connection has to be noticed. */
        LARGE(1);

        private final int freeFraction;

        Share(int freeFraction) {
            this.freeFraction = freeFraction;
        }
    }

    /** Bytes that a process holds for messages in transit, before only the minimum of each account is granted. */
    public static final long MAX_BYTES = 4 << 20;
    /** Minimum of a client's account: a request head of the maximum length. */
    public static final int MIN_ACCOUNT_BYTES = 12 << 10;
    /** Minimum of a response's account: a window that keeps data flowing. */
    public static final int MIN_RESPONSE_BYTES = 4 << 10;
    /** What a client's account may take beyond its limit: for a head that is decoded, and rejected at once. */
    public static final int REJECTED_INPUT_BYTES = 8 << 10;
    /** What a connection may always hold, with the response to it. */
    public static final int MIN_CONNECTION_BYTES = MIN_ACCOUNT_BYTES + REJECTED_INPUT_BYTES + MIN_RESPONSE_BYTES;

    private static final int MIN_RESUMED_READ_BYTES = 1 << 10; // an account waits until it may take so much
    private static final int RESUMED_PER_RELEASE = 8;

    private final long maxBytes;
    private final Map<Holder, Long> heldByHolder = new EnumMap<>(Holder.class);
    private final Map<Account, Runnable> waiting = new LinkedHashMap<>(); // longest waiting first
    private long sharedBytes; // what accounts hold beyond their minima
    private long heldBytes;
    private long peakBytes;
    private long maxOverrunBytes;

    /** Creates a budget of {@code maxBytes}, none of which are held. */
    public MemoryBudget(long maxBytes) {
        this.maxBytes = maxBytes;
    }

    /** Returns the largest size to which an account may grow at the moment, in bytes. */
    public long maxAccountBytes() {
        return Math.max(MIN_ACCOUNT_BYTES, freeBytes(Share.USUAL));
    }

    private long freeBytes(Share share) {
        return (maxBytes - sharedBytes) / share.freeFraction;
    }

    /** Returns the bytes that all accounts hold. */
    public long heldBytes() {
        return heldBytes;
    }

    /** Returns the maximum of {@link #heldBytes} so far. */
    public long peakBytes() {
        return peakBytes;
    }

    /** Returns by how much an account exceeded its limit at most, in bytes; more than a part of a read is a bug. */
    public long maxOverrunBytes() {
        return maxOverrunBytes;
    }

    /** Whether {@code bytes} more fit in, for an account that limits itself. */
    boolean hasFree(long bytes) {
        return sharedBytes + bytes <= maxBytes;
    }

    /** Resumes the accounts that wait and may hold more by now; to be called from time to time. */
    public void resumeWaiting() {
        resume(waiting.size());
    }

    private void resume(int maxAccounts) {
        List<Account> longestWaiting =
                waiting.keySet().stream().limit(maxAccounts).toList();
        for (Account account : longestWaiting) {
            Runnable task = waiting.remove(account);
            if (account.allowance() >= MIN_RESUMED_READ_BYTES) {
                task.run();
            } else {
                waiting.put(account, task);
            }
        }
    }

    /** Returns what each part of the program holds, for a log line. */
    String heldByHolder() {
        return heldByHolder.entrySet().stream()
                .map(entry -> entry.getKey().name().toLowerCase(Locale.ROOT) + ":" + entry.getValue())
                .collect(Collectors.joining(","));
    }

    /** Opens an account that holds nothing. */
    public Account open(Holder holder) {
        return new Account(holder);
    }

    /** The bytes that one part of the program holds. An account that holds nothing needs no close. */
    public final class Account {
        private final Holder holder;
        private Share share = Share.USUAL;
        private long accountBytes;

        private Account(Holder holder) {
            this.holder = holder;
        }

        /** Sets how much of the free memory the account may hold from now on. */
        public void setShare(Share newShare) {
            share = newShare;
        }

        /** Reports how many bytes the account holds now. */
        public void hold(long bytes) {
            long addedBytes = bytes - accountBytes;
            if (addedBytes == 0) {
                return;
            }
            if (addedBytes > 0 && holder != Holder.UNSENT_RESPONSE) {
                maxOverrunBytes = Math.max(maxOverrunBytes, bytes - Math.max(accountBytes, limitBytes()));
            }
            sharedBytes += beyondMinimum(bytes) - beyondMinimum(accountBytes);
            heldBytes += addedBytes;
            heldByHolder.merge(holder, addedBytes, Long::sum);
            peakBytes = Math.max(peakBytes, heldBytes);
            accountBytes = bytes;
            if (addedBytes < 0 && !waiting.isEmpty()) {
                resumeAfterRelease();
            }
        }

        private long beyondMinimum(long bytes) {
            return Math.max(0, bytes - holder.minBytes);
        }

        private void resumeAfterRelease() {
            if (waiting.containsKey(this) && allowance() >= MIN_RESUMED_READ_BYTES) {
                waiting.remove(this).run();
            }
            resume(RESUMED_PER_RELEASE);
        }

        private long limitBytes() {
            return Math.max(holder.minBytes, freeBytes(share));
        }

        /** Whether the account may hold {@code bytes} in all; never false up to the minimum of an account. */
        public boolean mayHold(long bytes) {
            return bytes <= accountBytes || bytes <= limitBytes();
        }

        /** Returns how many bytes the account may take now, beyond those that it holds. */
        public long allowance() {
            return Math.max(0, limitBytes() - accountBytes);
        }

        /** Runs {@code task} once the account may take more; replaces a task that waits. */
        public void whenAllowed(Runnable task) {
            waiting.put(this, task);
        }

        /** The account is not read for any more: nothing waits. */
        public void stopWaiting() {
            waiting.remove(this);
        }

        /** Returns the bytes that the account holds. */
        public long bytes() {
            return accountBytes;
        }
    }
}
