package loadbalancer.server;

import java.lang.reflect.InvocationHandler;
import java.lang.reflect.Proxy;

/**
 * Handles SIGHUP, by which operators ask for a configuration reload, in place of the JVM's own handler, which ends the
 * process. Java has no public interface for signals: {@code sun.misc.Signal}, which every JDK has, is used by
 * reflection, since the compiler warns of each direct use.
 */
final class ReloadSignal {
    /** Whether SIGHUP leads to a reload. */
    enum Support {
        HANDLED,
        /** It was ignored when the process was started, as by nohup, and a JVM leaves it so. */
        IGNORED,
        /** The platform has no SIGHUP. */
        UNSUPPORTED
    }

    private ReloadSignal() {}

    /** Runs {@code action} at each SIGHUP, on a thread of its own, where that is possible. */
    static Support onEach(Runnable action) {
        InvocationHandler handler = (proxy, method, arguments) -> switch (method.getName()) {
            case "handle" -> {
                action.run();
                yield null;
            }
            case "equals" -> proxy == arguments[0];
            case "hashCode" -> System.identityHashCode(proxy);
            default -> "SIGHUP handler";
        };
        try {
            Class<?> signal = Class.forName("sun.misc.Signal");
            Class<?> type = Class.forName("sun.misc.SignalHandler");
            Object proxy = Proxy.newProxyInstance(type.getClassLoader(), new Class<?>[] {type}, handler);
            Object former = signal.getMethod("handle", signal, type)
                    .invoke(null, signal.getConstructor(String.class).newInstance("HUP"), proxy);
            boolean ignored =
                    former != null && former == type.getField("SIG_IGN").get(null);
            return ignored ? Support.IGNORED : Support.HANDLED;
        } catch (ReflectiveOperationException e) {
            return Support.UNSUPPORTED;
        }
    }
}
