package loadbalancer.server;

import java.lang.reflect.InvocationHandler;
import java.lang.reflect.Proxy;

/**
 * Takes SIGHUP, by which operators say that the configuration has been replaced. Guards against the JVM's own
 * handling, which ends the process. The platform has no public interface for signals; the one that every JDK
 * carries is reached by its name, as the compiler warns of each direct use.
 */
final class ReloadSignal {
    private ReloadSignal() {}

    /** Runs {@code action} at each SIGHUP, on a thread of its own; false where the platform has none. */
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
