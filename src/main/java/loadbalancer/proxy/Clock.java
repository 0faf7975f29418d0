package loadbalancer.proxy;

/** A clock in µs since 1970 that never goes back. Its times can be compared with the start times of upstreams. */
@FunctionalInterface
public interface Clock {
    /** Returns the time in µs since 1970. */
    long now();

    /** Returns the system's monotonic clock, with its offset to Unix time set once, by this call. */
    static Clock system() {
        long unixMicrosAtStart = System.currentTimeMillis() * 1000;
        long nanosAtStart = System.nanoTime();
        return new Clock() {
            @Override
            public long now() {
                return unixMicrosAtStart + (System.nanoTime() - nanosAtStart) / 1000;
            }
        };
    }
}
