package loadbalancer.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import loadbalancer.policy.Policy;
import loadbalancer.policy.Policy.ListKind;
import loadbalancer.policy.Policy.Outcome;
import loadbalancer.policy.Policy.Server;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Attempts of a request with an idempotency key whose connections come up late, in any order. The failure guarded
 * against: the first attempt waited for its connection, a later one ran, and the first was sent when the servers had
 * forgotten the key: the request ran twice.
 */
class RepeatOverLateConnectionsTest {
    private static final long DEADLINE_MICROS = 5_000_000;
    private static final long MAX_DELAY_MICROS = 1_500_000; // of a connection
    private static final int SERVERS = 4;

    /** The servers of a scope: a key that one of them has run is known to its whole group for some time. */
    private static final class ServerGroups {
        private final Policy.Scope scope;
        private final long keyTtlMicros;
        private final Map<Integer, Long> firstRunAtMicros = new HashMap<>(); // by group
        private final List<String> runs = new ArrayList<>();

        ServerGroups(Policy.Scope scope, long keyTtlMicros) {
            this.scope = scope;
            this.keyTtlMicros = keyTtlMicros;
        }

        void receive(Server server, long now) {
            int group = scope == Policy.Scope.ALL ? 0 : scope == Policy.Scope.ZONE ? server.zone() : server.cell();
            Long first = firstRunAtMicros.get(group);
            if (first == null || now >= first + keyTtlMicros) {
                firstRunAtMicros.put(group, now);
                runs.add(server + " at " + now);
            }
        }
    }

    /** One request, its attempts and the endpoint list, in virtual time. */
    private static final class Play {
        private final VirtualTimeScheduler time = new VirtualTimeScheduler();
        private final FakeTransport transport = new FakeTransport();
        private final SplittableRandom random;
        private final ServerGroups groups;
        private final Dispatcher dispatcher;
        private final Map<String, Server> servers = new HashMap<>();
        private int version;

        Play(Policy.Scope scope, long keyTtlMicros, SplittableRandom random) {
            this.random = random;
            groups = new ServerGroups(scope, keyTtlMicros);
            SingleAttemptPolicy policy = new SingleAttemptPolicy();
            policy.attemptsPerRequest = 0;
            policy.neverFails = true;
            dispatcher = new Dispatcher(
                    time,
                    time,
                    TestSettings.keyed(scope.name().toLowerCase(), keyTtlMicros, DEADLINE_MICROS),
                    policy,
                    line -> {});
            dispatcher.attach(transport, EndpointSource.NONE);
            for (int i = 0; i < SERVERS; i++) {
                move("s" + i, random.nextInt(2));
            }
            dispatcher.dispatch(
                    new ProxyRequest(
                            "r", "POST", "/k", HeaderFields.NONE, new byte[0], 0, 0, "k", DEADLINE_MICROS, -1, false),
                    new RecordingResponseWriter());
        }

        void move(String id, int group) {
            Server moved = new Server(id, Policy.State.UP, 0, 1, group, 0, group);
            servers.put(id, moved);
            InetSocketAddress address = new InetSocketAddress("127.0.0.1", 1_000 + id.charAt(1));
            dispatcher.updateEndpoints(
                    ListKind.PARTIAL,
                    new EndpointUpdate(++version, false, List.of(new EndpointUpdate.Endpoint(moved, address))));
        }

        /** Chooses up to three servers at once or one after the other; their connections come up in any order. */
        void run(boolean moving) {
            for (int i = 0; i < 3; i++) {
                String server = "s" + random.nextInt(SERVERS);
                time.schedule(random.nextLong(800_000), () -> send(server));
            }
            for (int i = 0; moving && i < 4; i++) {
                String server = "s" + random.nextInt(SERVERS);
                time.schedule(random.nextLong(2_000_000), () -> move(server, random.nextInt(2)));
            }
            time.advance(DEADLINE_MICROS);
        }

        private void send(String server) {
            int before = transport.started.size();
            dispatcher.send("1", server, 0);
            if (transport.started.size() > before) {
                FakeTransport.StartedAttempt attempt = transport.started.get(before);
                attempt.connecting = true;
                time.schedule(random.nextLong(MAX_DELAY_MICROS), () -> connected(attempt, server));
            }
        }

        // The connection is up, or has failed; the request is written until the time that it may take.
        private void connected(FakeTransport.StartedAttempt attempt, String server) {
            if (attempt.stopped) {
                return;
            }
            assertTrue(time.now() < attempt.startDeadlineMicros, "the attempt has waited for too long");
            if (random.nextInt(8) == 0) {
                attempt.listener.ended(Outcome.CONNECT_FAILED, null, null);
                return;
            }
            long untilMicros = attempt.listener.awaitedUntilMicros();
            assertTrue(untilMicros > time.now(), "the attempt has waited although it may not be sent");
            attempt.listener.sending();
            attempt.connecting = false;
            groups.receive(servers.get(server), time.now() + random.nextLong(untilMicros - time.now()));
            if (random.nextInt(8) == 0) { // its response is lost
                attempt.listener.ended(Outcome.RESET, null, null);
            }
        }
    }

    @ParameterizedTest
    @ValueSource(longs = {0, 100_000, 300_000, 500_000, 1_000_000, 3_000_000})
    void noRequestRunsTwiceInWhateverOrderItsConnectionsComeUp(long keyTtlMicros) {
        for (Policy.Scope scope : Policy.Scope.values()) {
            for (int seed = 0; seed < 1_000; seed++) {
                Play play = new Play(scope, keyTtlMicros, new SplittableRandom(seed));
                play.run(seed % 2 == 0);
                assertTrue(play.groups.runs.size() <= 1, scope + ", seed " + seed + ": " + play.groups.runs);
            }
        }
    }

    private static Play playOfThree(Policy.Scope scope) {
        Play play = new Play(scope, 500_000, new SplittableRandom(1));
        for (int i = 0; i < SERVERS; i++) {
            play.move("s" + i, 1);
        }
        for (int i = 0; i < 3; i++) {
            play.dispatcher.send("1", "s" + i, 0);
            play.transport.started.get(i).connecting = true;
        }
        return play;
    }

    private static boolean isAllowed(Play play, int attempt) {
        AttemptTransport.Listener listener = play.transport.started.get(attempt).listener;
        boolean allowed = listener.awaitedUntilMicros() > play.time.now();
        if (allowed) {
            listener.sending();
            play.transport.started.get(attempt).connecting = false;
        }
        return allowed;
    }

    /** The window is not shortened either: a repeat within it is what hedging is for. */
    @Test
    void aRepeatIsSentWithinTheWindowOfTheAttemptThatWasSentFirst() {
        Play play = playOfThree(Policy.Scope.CELL);
        play.time.advance(400_000);
        assertTrue(isAllowed(play, 2), "nothing has been sent before");
        play.time.advance(499_000);
        assertTrue(isAllowed(play, 0), "within the window of the third attempt, which was sent first");
        play.time.advance(2_000);
        assertEquals(
                SendGuard.NOT_AWAITED, play.transport.started.get(1).listener.awaitedUntilMicros());
    }

    private static List<Integer> ended(Play play) {
        return IntStream.range(0, play.transport.started.size())
                .filter(i -> play.transport.started.get(i).stopped)
                .boxed()
                .toList();
    }

    /**
     * The failure guarded against: attempts went on waiting for their connections when they could not be sent any more,
     * and the client waited with them.
     */
    @Test
    void attemptsThatWaitEndWithTheWindow() {
        Play play = playOfThree(Policy.Scope.CELL);
        assertTrue(isAllowed(play, 2));
        play.time.advance(499_000);
        assertEquals(List.of(), ended(play));
        play.time.advance(1_000);
        assertEquals(List.of(0, 1), ended(play));
    }

    /** The failure guarded against: the last bytes of a short body left when the servers had forgotten the key. */
    @Test
    void anAttemptThatIsSentInPartEndsWithTheWindow() {
        Play play = playOfThree(Policy.Scope.CELL);
        assertTrue(isAllowed(play, 0));
        play.transport.started.get(0).connecting = true; // the upstream accepts no more bytes
        play.time.advance(200_000);
        assertTrue(isAllowed(play, 1));
        play.time.advance(499_000);
        assertEquals(List.of(2), ended(play), "the window of the first attempt is over");
        play.time.advance(1_000);
        assertEquals(List.of(0, 2), ended(play));
    }

    @Test
    void attemptsWaitOnWhereTheOneThatWasSentNeverRan() {
        Play play = playOfThree(Policy.Scope.CELL);
        assertTrue(isAllowed(play, 2));
        play.time.advance(100_000);
        play.transport.started.get(2).listener.ended(Outcome.FULL, null, null);
        play.time.advance(1_000_000);
        assertEquals(List.of(), ended(play));
        assertTrue(isAllowed(play, 0));
        play.time.advance(500_000);
        assertEquals(List.of(1), ended(play));
    }

    @Test
    void anAttemptEndsWhenItsServerLeavesTheGroup() {
        for (Policy.Scope scope : Policy.Scope.values()) {
            Play play = playOfThree(scope);
            assertTrue(isAllowed(play, 2));
            play.move("s0", 2);
            play.time.advance(0);
            assertEquals(scope == Policy.Scope.ALL ? List.of() : List.of(0), ended(play), scope.toString());
        }
    }

    @Test
    void anAttemptThatNeverRanDoesNotBeginTheWindow() {
        Play play = playOfThree(Policy.Scope.CELL);
        assertTrue(isAllowed(play, 2));
        play.transport.started.get(2).listener.ended(Outcome.FULL, null, null);
        play.time.advance(2_000_000);
        assertTrue(isAllowed(play, 0));
    }

    @Test
    void aServerThatHasLeftTheGroupMeanwhileGetsNoRepeat() {
        for (Policy.Scope scope : Policy.Scope.values()) {
            Play play = playOfThree(scope);
            assertTrue(isAllowed(play, 2));
            play.move("s0", 2);
            assertEquals(scope == Policy.Scope.ALL, isAllowed(play, 0), scope.toString());
            assertTrue(isAllowed(play, 1), scope.toString());
        }
    }
}
