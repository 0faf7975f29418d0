package loadbalancer.connections;

/**
 * Counters that are incremented and decremented by one, and a look-up of the item with the highest counter, all in
 * constant time. Items with equal counters share a bucket, and the buckets are linked in the order of their values, as
 * in "An O(1) algorithm for implementing the LFU cache eviction scheme" (Shah, Mitra, Matani, 2010); that algorithm
 * looks up the lowest counter, this class the highest. Among items with equal counters, the one that reached the value
 * first is returned. Invariants: values fall strictly from the highest bucket to the lowest, no bucket is empty, and an
 * item with counter 0 is in no bucket. Not thread-safe.
 */
final class FrequencyList<T> {
    /** The counter of an item. */
    static final class Counter<T> {
        private final LinkedQueue.Entry<Counter<T>> entry = new LinkedQueue.Entry<>(this);
        private final T item;
        private Bucket<T> bucket;

        Counter(T item) {
            this.item = item;
        }

        int value() {
            return bucket == null ? 0 : bucket.value;
        }
    }

    private static final class Bucket<T> {
        final int value;
        final LinkedQueue<Counter<T>> counters = new LinkedQueue<>();
        Bucket<T> higher;
        Bucket<T> lower;

        Bucket(int value) {
            this.value = value;
        }
    }

    private Bucket<T> highest;
    private Bucket<T> lowest;

    /** Increments a counter. */
    void increment(Counter<T> counter) {
        Bucket<T> from = counter.bucket;
        Bucket<T> to = from == null ? lowest : from.higher;
        int value = counter.value() + 1;
        if (to == null || to.value != value) {
            to = insertBetween(from, new Bucket<>(value), to);
        }
        move(counter, to);
    }

    /** Decrements a counter; throws IllegalStateException if it is 0. */
    void decrement(Counter<T> counter) {
        Bucket<T> from = counter.bucket;
        if (from == null) {
            throw new IllegalStateException("counter decremented below zero");
        }
        int value = from.value - 1;
        Bucket<T> to = from.lower;
        if (value == 0) {
            to = null;
        } else if (to == null || to.value != value) {
            to = insertBetween(to, new Bucket<>(value), from);
        }
        move(counter, to);
    }

    // A neighbour is null at the end of the list.
    private Bucket<T> insertBetween(Bucket<T> lower, Bucket<T> inserted, Bucket<T> higher) {
        inserted.lower = lower;
        inserted.higher = higher;
        if (higher == null) {
            highest = inserted;
        } else {
            higher.lower = inserted;
        }
        if (lower == null) {
            lowest = inserted;
        } else {
            lower.higher = inserted;
        }
        return inserted;
    }

    private void move(Counter<T> counter, Bucket<T> to) {
        Bucket<T> from = counter.bucket;
        counter.entry.remove();
        counter.bucket = to;
        if (to != null) {
            to.counters.addLast(counter.entry);
        }
        if (from != null && from.counters.isEmpty()) {
            unlink(from);
        }
    }

    private void unlink(Bucket<T> bucket) {
        if (bucket.higher == null) {
            highest = bucket.lower;
        } else {
            bucket.higher.lower = bucket.lower;
        }
        if (bucket.lower == null) {
            lowest = bucket.higher;
        } else {
            bucket.lower.higher = bucket.higher;
        }
    }

    /** Returns the item with the highest counter, or null if all counters are 0. */
    T itemWithMaxCount() {
        return highest == null ? null : highest.counters.first().item;
    }

    /** Returns the highest counter, or 0 if all counters are 0. */
    int maxCount() {
        return highest == null ? 0 : highest.value;
    }
}
