package loadbalancer.testbed;

import java.net.InetSocketAddress;
import java.util.List;

/** A balancer that a run is played against: the real one, or a test's twin with a fault of its own. */
interface TestedBalancer extends AutoCloseable {
    InetSocketAddress address();

    /** Where it takes HTTP/3; null where it doesn't. */
    default InetSocketAddress http3() {
        return null;
    }

    boolean isAlive();

    /** CPU that it has used so far, in µs; 0 where that can't be told. */
    long cpuMicros();

    /** The most memory that it has held so far, in KiB; 0 where that can't be told. */
    default long memoryKib() {
        return 0;
    }

    /** What it has said. */
    List<String> log();

    /** Ends it in order, and returns its exit code; -1 where it had to be killed. */
    int stop() throws InterruptedException;

    /** Ends it at once. */
    @Override
    void close();
}
