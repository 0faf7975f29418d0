package loadbalancer.config.toml;

import loadbalancer.config.Config;
import loadbalancer.connections.ConnectionLimits;

/** Reads the table {@code limits}: timeouts go to the settings, the rest is the connection budget's. */
final class LimitsTable {
    private static final long NANOS_PER_MICRO = 1_000;

    private LimitsTable() {}

    static ConnectionLimits read(Table table, SettingValues settings) {
        settings.put("Limits.DialTimeout", table.time("connect", "500ms"));
        settings.put("Limits.IdleClose", table.time("idle-close", "30s"));
        long retryAfterMicros = table.time("retry-after", "2s");
        settings.put("Limits.RetryAfter", retryAfterMicros > 0);
        settings.put("Limits.MaxRetryAfter", retryAfterMicros);
        return connectionLimits(table);
    }

    private static ConnectionLimits connectionLimits(Table table) {
        int descriptors = (int) table.number("descriptors", Config.descriptors(), 16, 1e6);
        ConnectionLimits defaults = Config.connectionLimits(descriptors);
        int maxConnections = (int) table.number("connections", defaults.most(), 2, 1e6);
        double clientFloor = table.number("client-floor", defaults.clientFloor(), 0.01, 0.99);
        double upstreamFloor = table.number("upstream-floor", defaults.upstreamFloor(), 0.01, 0.99);
        long minRestNanos = nanos(table, "rest-least", defaults.restLeast());
        long maxRestNanos = nanos(table, "rest-most", defaults.restMost());
        long maxSilenceNanos = nanos(table, "silent-most", defaults.silentMost());
        long minPollNanos = nanos(table, "ask-least", defaults.askLeast());
        long maxPollNanos = nanos(table, "ask-most", defaults.askMost());
        try {
            return new ConnectionLimits(
                    maxConnections,
                    clientFloor,
                    upstreamFloor,
                    minRestNanos,
                    maxRestNanos,
                    maxSilenceNanos,
                    minPollNanos,
                    maxPollNanos);
        } catch (IllegalArgumentException e) {
            table.complain("client-floor", "with the others of the table " + e.getMessage());
            return defaults;
        }
    }

    private static long nanos(Table table, String key, long defaultNanos) {
        return table.time(key, defaultNanos / NANOS_PER_MICRO + "us") * NANOS_PER_MICRO;
    }
}
