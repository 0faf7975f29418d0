package loadbalancer.logging;

import io.netty.util.internal.logging.InternalLogger;
import io.netty.util.internal.logging.InternalLoggerFactory;
import java.util.function.Consumer;

/**
 * Forwards Netty's own warnings and errors to the log of this program: one line per message, with the cause in place of
 * a stack trace, and at most one line per level in five seconds from each of Netty's classes. Netty's default loggers
 * write to standard error on the event loop, which stalls the loop if nobody reads standard error. Thread-safe.
 */
public final class NettyLogBridge extends InternalLoggerFactory {
    private final Consumer<String> sink;

    private NettyLogBridge(Consumer<String> sink) {
        this.sink = sink;
    }

    /**
     * Makes all loggers that Netty creates after this call write to {@code sink}; existing loggers do not change.
     *
     * @param sink receives the lines, on any thread; must not block
     */
    public static void install(Consumer<String> sink) {
        InternalLoggerFactory.setDefaultFactory(new NettyLogBridge(sink));
    }

    @Override
    protected InternalLogger newInstance(String name) {
        return new NettyLogger(name, sink);
    }
}
