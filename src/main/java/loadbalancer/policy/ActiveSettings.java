package loadbalancer.policy;

import loadbalancer.policy.Policy.Effect;
import loadbalancer.policy.Policy.RequestClass;
import loadbalancer.policy.Policy.Settings;

/** The settings in force, and what follows from them alone. The parts of the policy share one instance. */
final class ActiveSettings {
    /** Longest time between two sweeps while any request is open, in microseconds. */
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

    /** Time between two sweeps while any request is open. */
    long sweepIntervalMicros() {
        return sweepIntervalMicros;
    }

    long shortestObjectiveMicros() {
        return shortestObjectiveMicros;
    }

    /** Whether requests of any class may simply be repeated. */
    boolean anyClassSafe() {
        return anyClassSafe;
    }

    /** Whether servers are sampled within the own zone where possible: crossing costs more than connecting. */
    boolean prefersOwnZone() {
        return settings.prices().crossZone() > settings.prices().handshake();
    }
}
