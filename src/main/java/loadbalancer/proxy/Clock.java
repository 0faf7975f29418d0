package loadbalancer.proxy;

/** A clock in µs since 1970 that never goes back: comparable with the start time that an upstream reports. */
@FunctionalInterface
public interface Clock {
    /** The time in µs since 1970. */
    long now();

    /** The monotonic clock, anchored to Unix time once. */
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
