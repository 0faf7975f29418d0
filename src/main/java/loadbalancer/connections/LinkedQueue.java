package loadbalancer.connections;

/**
 * An intrusive doubly linked queue: the entries are part of the queued items, so adding at the end and removing from
 * any position take constant time and allocate nothing. Invariants: the first entry has no previous entry, the last
 * entry has no next entry, and an entry is in at most one queue. Not thread-safe.
 */
final class LinkedQueue<T> {
    /** Links an item into a queue; an item that is in two queues at once has two entries. */
    static final class Entry<T> {
        final T item;
        private LinkedQueue<T> queue;
        private Entry<T> previous;
        private Entry<T> next;

        Entry(T item) {
            this.item = item;
        }

        boolean isQueued() {
            return queue != null;
        }

        /** Removes the entry from its queue, if it is in one. */
        void remove() {
            if (queue != null) {
                queue.unlink(this);
            }
        }
    }

    private Entry<T> first;
    private Entry<T> last;
    private int size;

    /** Adds an entry at the end, after removing it from its current queue, which may be this queue. */
    void addLast(Entry<T> entry) {
        entry.remove();
        entry.queue = this;
        entry.previous = last;
        if (last == null) {
            first = entry;
        } else {
            last.next = entry;
        }
        last = entry;
        size++;
    }

    private void unlink(Entry<T> entry) {
        if (entry.previous == null) {
            first = entry.next;
        } else {
            entry.previous.next = entry.next;
        }
        if (entry.next == null) {
            last = entry.previous;
        } else {
            entry.next.previous = entry.previous;
        }
        entry.queue = null;
        entry.previous = null;
        entry.next = null;
        size--;
    }

    /** Returns the item that was added first, or null if the queue is empty. */
    T first() {
        return first == null ? null : first.item;
    }

    /** Returns the item that was added last, or null if the queue is empty. */
    T last() {
        return last == null ? null : last.item;
    }

    int size() {
        return size;
    }

    boolean isEmpty() {
        return size == 0;
    }
}
