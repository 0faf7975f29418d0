package loadbalancer.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTimeoutPreemptively;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.lang.reflect.Proxy;
import java.time.Duration;
import java.util.ConcurrentModificationException;
import java.util.List;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * A shutdown ends, also where one of its steps throws.
 *
 * <p>A ConcurrentModificationException was seen in {@code Http3Listener.startDraining()}: it walked its connections
 * while one of them closed. By reading, the same in {@code rejectNewStreams()} passed through the step of the shutdown
 * that schedules the next one in its last line: the process stayed until it was killed, with the responses that it
 * owed.
 */
class GracefulShutdownTest extends ServerFixture {
    /** What the extension does is done by {@link NoExtension}, but for one method, which throws. */
    private static ServerExtension failingIn(String method) {
        return server -> (ServerExtension.Part) Proxy.newProxyInstance(
                GracefulShutdownTest.class.getClassLoader(),
                new Class<?>[] {ServerExtension.Part.class},
                (proxy, called, arguments) -> {
                    if (called.getName().equals(method)) {
                        throw new ConcurrentModificationException(method);
                    }
                    return called.invoke(NoExtension.INSTANCE, arguments);
                });
    }

    @ParameterizedTest
    @Timeout(60)
    @ValueSource(strings = {"stopping", "close", "end"})
    void aStepThatThrowsDoesNotKeepTheProcess(String step) throws IOException, InterruptedException {
        node = new LoadBalancerServer(
                config(1024, settings(), 0), (s, seed) -> module, false, failingIn(step), line -> {
                    synchronized (log) {
                        log.add(line);
                    }
                });
        at = node.start();
        assertEquals("PERSISTED [s1=UP]", module.next());
        try (Client client = new Client(at).send(SAFE)) {
            assertTrue(client.answerAfter(upstream).startsWith("HTTP/1.1 200"));
        }
        assertTimeoutPreemptively(Duration.ofSeconds(10), node::stop);
        List<String> lines;
        synchronized (log) {
            lines = List.copyOf(log);
        }
        assertEquals(
                1,
                lines.stream()
                        .filter(line -> line.startsWith("event=loop_task_failed ")
                                && line.contains("ConcurrentModificationException: " + step))
                        .count(),
                () -> "no event with its cause: " + lines);
        assertTrue(
                lines.stream().anyMatch(line -> line.startsWith("event=stopped ") && line.contains(" 1 failed tasks")),
                () -> "not counted: " + lines);
    }
}
