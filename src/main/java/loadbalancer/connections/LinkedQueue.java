package loadbalancer.connections;

/**
 * A line of waiting items: joined at its end, left from anywhere, each in constant time and with no search.
 * Invariants: {@code first} has no one before it, {@code last} no one behind it, and a place is in one line
 * at most. For one thread.
 */
final class LinkedQueue<T> {
    /** An item's place in a line; an item that stands in two lines has two. */
    static final class Place<T> {
        final T item;
        private LinkedQueue<T> line;
        private Place<T> before;
        private Place<T> behind;

        Place(T item) {
            this.item = item;
        }

        boolean placed() {
            return line != null;
        }

        /** Leaves its line, if it is in one. */
        void leave() {
            if (line != null) {
                line.remove(this);
            }
        }
    }

    private Place<T> first;
    private Place<T> last;
    private int size;

    /** Joins at the end, and leaves any other line for that. */
    void join(Place<T> place) {
        place.leave();
        place.line = this;
        place.before = last;
        if (last == null) {
            first = place;
        } else {
            last.behind = place;
        }
        last = place;
        size++;
    }

    private void remove(Place<T> place) {
        if (place.before == null) {
            first = place.behind;
        } else {
            place.before.behind = place.behind;
        }
        if (place.behind == null) {
            last = place.before;
        } else {
            place.behind.before = place.before;
        }
        place.line = null;
        place.before = null;
        place.behind = null;
        size--;
    }

    /** Who has been in it for longest; null if none is. */
    T first() {
        return first == null ? null : first.item;
    }

    /** Who joined last; null if none is in it. */
    T last() {
        return last == null ? null : last.item;
    }

    int size() {
        return size;
    }
}
