package loadbalancer.policy;

import loadbalancer.policy.Policy.Effect;
import loadbalancer.policy.Policy.RequestClass;
import loadbalancer.policy.Policy.Settings;

/** The settings in force and the values derived from them alone. All parts of the policy share one instance. */
final class ActiveSettings {
    /** Upper limit of the interval between two sweeps while any request is open. */
    private static final long MAX_SWEEP_INTERVAL_MICROS = 20_000;

    private static final int SWEEPS_PER_OBJECTIVE = 16;

    private Settings settings;
    private long sweepIntervalMicros;
    private long shortestObjectiveMicros;
    private boolean anyClassSafe;

    ActiveSettings(Settings settings) {
        reload(settings);
    }

    void reload(Settings newSettings) {
        settings = newSettings;
        shortestObjectiveMicros = Long.MAX_VALUE;
        anyClassSafe = false;
        for (RequestClass requestClass : newSettings.classes()) {
            shortestObjectiveMicros = Math.min(shortestObjectiveMicros, requestClass.aimMicros());
            anyClassSafe |= requestClass.effect() == Effect.SAFE;
        }
        sweepIntervalMicros = Math.max(
                newSettings.clockTickMicros(),
                Math.min(MAX_SWEEP_INTERVAL_MICROS, shortestObjectiveMicros / SWEEPS_PER_OBJECTIVE));
    }

    Settings settings() {
        return settings;
    }

    /** Interval between two sweeps while any request is open. */
    long sweepIntervalMicros() {
        return sweepIntervalMicros;
    }

    long shortestObjectiveMicros() {
        return shortestObjectiveMicros;
    }

    /** Whether any class allows its requests to be repeated at any server. */
    boolean anyClassSafe() {
        return anyClassSafe;
    }

    /** Whether servers of the balancer's own zone are preferred: crossing zones costs more than a new connection. */
    boolean prefersOwnZone() {
        return settings.prices().crossZone() > settings.prices().handshake();
    }
}
