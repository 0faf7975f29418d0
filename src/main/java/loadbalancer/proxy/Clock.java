package loadbalancer.proxy;

/** The time, in µs since 1970: comparable with an upstream's start, and never going back. */
@FunctionalInterface
public interface Clock {
    long now();

    /** The monotonic clock, anchored to Unix time once. */
    static Clock system() {
        long unixAtStart = System.currentTimeMillis() * 1000;
        long nanosAtStart = System.nanoTime();
        return new Clock() {
            @Override
            public long now() {
                return unixAtStart + (System.nanoTime() - nanosAtStart) / 1000;
            }
        };
    }
}
