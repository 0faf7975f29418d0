package loadbalancer.policy;

/** Actions that do nothing; a test overrides those that it checks. */
interface NoOpActions extends Policy.Actions {
    @Override
    default void send(String request, String server, long timeoutMicros) {}

    @Override
    default void reject(String request, long retryAfterMicros) {}

    @Override
    default void fail(String request) {}

    @Override
    default void cancel(String request, int attempt) {}

    @Override
    default void probe(String server) {}

    @Override
    default void watch(boolean enabled) {}

    @Override
    default void fetchList() {}

    @Override
    default void closeIdle(String server) {}

    @Override
    default void sendToPeer(int peer, byte[] data) {}

    @Override
    default void wakeAfter(long delayMicros) {}

    @Override
    default void log(String line) {}
}
