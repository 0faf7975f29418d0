package loadbalancer.connections;

/**
 * Counts that go up and down by one, and whose is the highest, each in constant time. The counts stand on
 * rungs, one for each count in use, linked from the highest down, as in "An O(1) algorithm for implementing
 * the LFU cache eviction scheme" (Shah, Mitra, Matani, 2010), there by the least. Among equal counts the one
 * that came to it first is the highest. Invariants: counts fall strictly from rung to rung, no rung is empty,
 * and an item with count 0 stands on none. For one thread.
 */
final class FrequencyList<T> {
    /** An item's count. */
    static final class Count<T> {
        private final LinkedQueue.Place<Count<T>> place = new LinkedQueue.Place<>(this);
        private final T item;
        private Rung<T> rung;

        Count(T item) {
            this.item = item;
        }

        int value() {
            return rung == null ? 0 : rung.value;
        }
    }

    private static final class Rung<T> {
        final int value;
        final LinkedQueue<Count<T>> line = new LinkedQueue<>();
        Rung<T> above;
        Rung<T> below;

        Rung(int value) {
            this.value = value;
        }
    }

    private Rung<T> top;
    private Rung<T> bottom;

    /** Counts one more. */
    void up(Count<T> count) {
        Rung<T> from = count.rung;
        Rung<T> above = from == null ? bottom : from.above;
        int value = count.value() + 1;
        if (above == null || above.value != value) {
            above = insert(new Rung<>(value), above, from);
        }
        move(count, above);
    }

    /** Counts one less; throws IllegalStateException at 0. */
    void down(Count<T> count) {
        Rung<T> from = count.rung;
        if (from == null) {
            throw new IllegalStateException("below zero");
        }
        int value = from.value - 1;
        Rung<T> below = from.below;
        if (value == 0) {
            below = null;
        } else if (below == null || below.value != value) {
            below = insert(new Rung<>(value), from, below);
        }
        move(count, below);
    }

    // Between two neighbours, either of which may be missing.
    private Rung<T> insert(Rung<T> rung, Rung<T> above, Rung<T> below) {
        rung.above = above;
        rung.below = below;
        if (above == null) {
            top = rung;
        } else {
            above.below = rung;
        }
        if (below == null) {
            bottom = rung;
        } else {
            below.above = rung;
        }
        return rung;
    }

    private void move(Count<T> count, Rung<T> to) {
        Rung<T> from = count.rung;
        count.place.leave();
        count.rung = to;
        if (to != null) {
            to.line.join(count.place);
        }
        if (from != null && from.line.size() == 0) {
            if (from.above == null) {
                top = from.below;
            } else {
                from.above.below = from.below;
            }
            if (from.below == null) {
                bottom = from.above;
            } else {
                from.below.above = from.above;
            }
        }
    }

    /** Whose count is the highest; null where all are 0. */
    T highest() {
        return top == null ? null : top.line.first().item;
    }

    /** The highest count. */
    int most() {
        return top == null ? 0 : top.value;
    }
}
