package loadbalancer.testbed;

import java.net.InetSocketAddress;
import java.util.List;

/** The balancer that a run is played against: the real one, or a reference model with a fault in a test. */
interface TestedBalancer extends AutoCloseable {
    /** Where it accepts HTTP/1.1. */
    InetSocketAddress address();

    /** Where it accepts HTTP/3; null where it doesn't. */
    default InetSocketAddress http3() {
        return null;
    }

    /** Whether its process runs. */
    boolean isAlive();

    /** CPU that it has used so far, in µs; 0 where that is unknown. */
    long cpuMicros();

    /** Its peak memory so far, in KiB; 0 where that is unknown. */
    default long memoryKib() {
        return 0;
    }

    /** The lines of its log so far. */
    List<String> log();

    /** Shuts it down gracefully, and returns its exit code; -1 where it had to be killed. */
    int stop() throws InterruptedException;

    /** Kills it. */
    @Override
    void close();
}
