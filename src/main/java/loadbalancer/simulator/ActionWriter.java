package loadbalancer.simulator;

import java.nio.charset.StandardCharsets;
import java.util.Base64;
import loadbalancer.policy.Policy;

/**
 * Writes the actions of one batch, a line each; an ON_BEHALF line names the instance where it differs from that of the
 * line before.
 */
final class ActionWriter implements Policy.Actions {
    private final StringBuilder text = new StringBuilder();
    private String currentInstance;
    private String writtenInstance;

    /** Actions from here on are those of the instance of that name. */
    void setInstance(String name) {
        currentInstance = name;
    }

    /** Reports that the module failed in the current instance. */
    void writeBailOut(RuntimeException failure) {
        StackTraceElement[] trace = failure.getStackTrace();
        write("BAIL_OUT", withoutSeparators(failure + (trace.length == 0 ? "" : " at " + trace[0])));
    }

    /** Closes the batch and returns it as it goes out. */
    byte[] finishBatch() {
        text.append("DONE\n");
        return text.toString().getBytes(StandardCharsets.UTF_8);
    }

    private void write(String name, Object... values) {
        if (currentInstance != null && !currentInstance.equals(writtenInstance)) {
            text.append("ON_BEHALF\t").append(currentInstance).append('\n');
            writtenInstance = currentInstance;
        }
        text.append(name);
        for (Object value : values) {
            text.append('\t').append(value);
        }
        text.append('\n');
    }

    private static String withoutSeparators(String value) {
        return value.replace('\t', ' ').replace('\n', ' ').replace('\r', ' ');
    }

    @Override
    public void send(String requestId, String serverId, long timeoutMicros) {
        write("DELIVER", requestId, serverId, timeoutMicros);
    }

    @Override
    public void reject(String requestId, long retryAfterMicros) {
        write("REFUSE", requestId, retryAfterMicros);
    }

    @Override
    public void fail(String requestId) {
        write("ERROR", requestId);
    }

    @Override
    public void cancel(String requestId, int attemptIndex) {
        write("UNDO_SEND", requestId, attemptIndex);
    }

    @Override
    public void probe(String serverId) {
        write("PING", serverId);
    }

    @Override
    public void watch(boolean enabled) {
        write("WATCH", enabled ? 1 : 0);
    }

    @Override
    public void fetchList() {
        write("LIST_ALL");
    }

    @Override
    public void closeIdle(String serverId) {
        write("CLOSE_IDLE", serverId);
    }

    @Override
    public void sendToPeer(int peer, byte[] data) {
        String encoded = data.length == 0 ? "-" : Base64.getEncoder().encodeToString(data);
        write("BROADCAST_TO", peer < 0 ? "*" : peer, encoded);
    }

    @Override
    public void wakeAfter(long delayMicros) {
        write("SLEEP", SimulatorInstance.WAKE_NONCE, delayMicros);
    }

    @Override
    public void log(String line) {
        write("REMARK", withoutSeparators(line));
    }
}
