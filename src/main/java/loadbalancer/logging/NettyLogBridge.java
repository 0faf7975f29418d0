package loadbalancer.logging;

import io.netty.util.internal.logging.AbstractInternalLogger;
import io.netty.util.internal.logging.InternalLogger;
import io.netty.util.internal.logging.InternalLoggerFactory;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Takes Netty's own warnings and errors to the program's log: one line each, with the cause in place of a
 * stack trace, and at most one in five seconds from each of Netty's classes. Its default loggers write to
 * standard error on the event loop, and stand still where nobody reads that. May be used from any thread.
 */
public final class NettyLogBridge extends InternalLoggerFactory {
    /** Between two lines of one logger, in ns. */
    static final long EVERY = TimeUnit.SECONDS.toNanos(5);

    private final Consumer<String> sink;

    private NettyLogBridge(Consumer<String> sink) {
        this.sink = sink;
    }

    /** From here on new loggers of Netty's write there; {@code sink} must not block. */
    public static void install(Consumer<String> sink) {
        InternalLoggerFactory.setDefaultFactory(new NettyLogBridge(sink));
    }

    @Override
    protected InternalLogger newInstance(String name) {
        return new Logger(name, sink);
    }

    /** Decides which lines are written, and words them. */
    static final class Limiter {
        private final Map<String, Long> lastAt = new HashMap<>();
        private long held;

        /** A line for the log, or null where another one of that level was written a moment ago. */
        synchronized String line(String level, String logger, String message, Throwable cause, long now) {
            Long last = lastAt.get(level);
            if (last != null && now - last < EVERY) {
                held++;
                return null;
            }
            lastAt.put(level, now);
            String text = "event=netty_" + level + " logger=" + logger + " "
                    + message.replace('\n', ' ').replace('\r', ' ')
                    + (cause == null ? "" : " cause=" + cause) + (held == 0 ? "" : " held_back=" + held);
            held = 0;
            return text;
        }
    }

    /** One of Netty's loggers. Only warnings and errors are written. */
    private static final class Logger extends AbstractInternalLogger {
        private static final long serialVersionUID = 1;
        private static final String WARNING = "warning";
        private static final String ERROR = "error";

        private final transient Consumer<String> sink;
        private final transient Limiter limiter = new Limiter();

        Logger(String name, Consumer<String> sink) {
            super(name);
            this.sink = sink;
        }

        private void write(String level, String message, Throwable cause) {
            String line = limiter.line(
                    level,
                    name().substring(name().lastIndexOf('.') + 1),
                    String.valueOf(message),
                    cause,
                    System.nanoTime());
            if (line != null) {
                sink.accept(line);
            }
        }

        // Netty's formats have {} for each argument; a last one that is an exception is the cause.
        private void format(String level, String format, Object... arguments) {
            String message = format;
            Throwable cause = null;
            for (Object argument : arguments) {
                int at = message.indexOf("{}");
                if (at >= 0) {
                    message = message.substring(0, at) + argument + message.substring(at + 2);
                } else if (argument instanceof Throwable thrown) {
                    cause = thrown;
                }
            }
            write(level, message, cause);
        }

        @Override
        public boolean isTraceEnabled() {
            return false;
        }

        @Override
        public void trace(String message) {}

        @Override
        public void trace(String format, Object argument) {}

        @Override
        public void trace(String format, Object first, Object second) {}

        @Override
        public void trace(String format, Object... arguments) {}

        @Override
        public void trace(String message, Throwable cause) {}

        @Override
        public boolean isDebugEnabled() {
            return false;
        }

        @Override
        public void debug(String message) {}

        @Override
        public void debug(String format, Object argument) {}

        @Override
        public void debug(String format, Object first, Object second) {}

        @Override
        public void debug(String format, Object... arguments) {}

        @Override
        public void debug(String message, Throwable cause) {}

        @Override
        public boolean isInfoEnabled() {
            return false;
        }

        @Override
        public void info(String message) {}

        @Override
        public void info(String format, Object argument) {}

        @Override
        public void info(String format, Object first, Object second) {}

        @Override
        public void info(String format, Object... arguments) {}

        @Override
        public void info(String message, Throwable cause) {}

        @Override
        public boolean isWarnEnabled() {
            return true;
        }

        @Override
        public void warn(String message) {
            write(WARNING, message, null);
        }

        @Override
        public void warn(String format, Object argument) {
            format(WARNING, format, argument);
        }

        @Override
        public void warn(String format, Object... arguments) {
            format(WARNING, format, arguments);
        }

        @Override
        public void warn(String format, Object first, Object second) {
            format(WARNING, format, first, second);
        }

        @Override
        public void warn(String message, Throwable cause) {
            write(WARNING, message, cause);
        }

        @Override
        public boolean isErrorEnabled() {
            return true;
        }

        @Override
        public void error(String message) {
            write(ERROR, message, null);
        }

        @Override
        public void error(String format, Object argument) {
            format(ERROR, format, argument);
        }

        @Override
        public void error(String format, Object first, Object second) {
            format(ERROR, format, first, second);
        }

        @Override
        public void error(String format, Object... arguments) {
            format(ERROR, format, arguments);
        }

        @Override
        public void error(String message, Throwable cause) {
            write(ERROR, message, cause);
        }
    }
}
