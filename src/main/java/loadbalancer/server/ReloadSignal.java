package loadbalancer.server;

import java.lang.reflect.InvocationHandler;
import java.lang.reflect.Proxy;

/**
 * Handles SIGHUP, by which operators ask for a configuration reload, in place of the JVM's own handler, which ends the
 * process. Java has no public interface for signals: {@code sun.misc.Signal}, which every JDK has, is used by
 * reflection, since the compiler warns of each direct use.
 */
final class ReloadSignal {
    private ReloadSignal() {}

    /** Runs {@code action} at each SIGHUP, on a thread of its own; false where the platform has no SIGHUP. */
    static boolean onEach(Runnable action) {
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
            signal.getMethod("handle", signal, type)
                    .invoke(null, signal.getConstructor(String.class).newInstance("HUP"), proxy);
            return true;
        } catch (ReflectiveOperationException e) {
            return false;
        }
    }
}
