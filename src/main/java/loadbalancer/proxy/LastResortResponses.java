package loadbalancer.proxy;

import java.util.function.Consumer;

/** Counts and logs requests that the policy left unanswered until their deadline. To be used on the event loop. */
final class LastResortResponses {
    private final Consumer<String> log;
    private long count;

    LastResortResponses(Consumer<String> log) {
        this.log = log;
    }

    /** Counts a response, and logs it if the count is a power of two. */
    void record() {
        count++;
        if (Long.bitCount(count) == 1) {
            log.accept("event=last_resort_responses count=" + count);
        }
    }

    long count() {
        return count;
    }
}
