package loadbalancer.logging;

import io.netty.util.internal.logging.AbstractInternalLogger;
import java.util.function.Consumer;

/** The logger of one of Netty's classes. Writes warnings and errors only. Thread-safe. */
final class NettyLogger extends AbstractInternalLogger {
    private static final long serialVersionUID = 1;
    private static final String WARNING = "warning";
    private static final String ERROR = "error";
    private static final String PLACEHOLDER = "{}";

    private final transient Consumer<String> sink;
    private final transient LogRateLimiter limiter = new LogRateLimiter();

    NettyLogger(String name, Consumer<String> sink) {
        super(name);
        this.sink = sink;
    }

    private void write(String level, String message, Throwable cause) {
        String simpleName = name().substring(name().lastIndexOf('.') + 1);
        String line =
                limiter.formatUnlessSuppressed(level, simpleName, String.valueOf(message), cause, System.nanoTime());
        if (line != null) {
            sink.accept(line);
        }
    }

    /** Fills in Netty's placeholders; an exception without a placeholder of its own is logged as the cause. */
    private void format(String level, String format, Object... arguments) {
        String message = format;
        Throwable cause = null;
        for (Object argument : arguments) {
            int start = message.indexOf(PLACEHOLDER);
            if (start >= 0) {
                message = message.substring(0, start) + argument + message.substring(start + PLACEHOLDER.length());
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
