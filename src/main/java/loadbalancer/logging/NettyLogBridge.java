package loadbalancer.logging;

import io.netty.util.internal.logging.InternalLogger;
import io.netty.util.internal.logging.InternalLoggerFactory;
import java.util.function.Consumer;

/**
 * Takes Netty's own warnings and errors to the program's log: one line each, with the cause in place of a stack trace,
 * and at most one of each level in five seconds from each of Netty's classes. Netty's default loggers write to standard
 * error on the event loop, which stalls where nobody reads that. Thread-safe.
 */
public final class NettyLogBridge extends InternalLoggerFactory {
    private final Consumer<String> sink;

    private NettyLogBridge(Consumer<String> sink) {
        this.sink = sink;
    }

    /**
     * Makes the loggers that Netty creates from here on write there; those that exist are left as they are.
     *
     * @param sink receives the lines on any thread; it must not block
     */
    public static void install(Consumer<String> sink) {
        InternalLoggerFactory.setDefaultFactory(new NettyLogBridge(sink));
    }

    @Override
    protected InternalLogger newInstance(String name) {
        return new NettyLogger(name, sink);
    }
}
