package loadbalancer.testbed;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import loadbalancer.policy.Policy;
import loadbalancer.testbed.fleet.BalancerMember;
import loadbalancer.testbed.fleet.ClientSocket;

/**
 * One client of a soak: sends requests to one process over reused and new connections, and closes some of these at
 * any point of a request. Blocks; for one thread.
 */
final class SoakClient {
    private static final long NEW_CONNECTIONS_NANOS = TimeUnit.MILLISECONDS.toNanos(200); // after SIGTERM
    private static final long LATE_MICROS = 1_000_000; // after the deadline; 0.5 s are allowed
    private static final long NOT_READ = Long.MIN_VALUE;
    private static final long MAX_HOLD_MICROS = 2_000_000; // for which the rest of a long response may be held back
    private static final long DEADLINE_MARGIN_MICROS = 200_000; // a response that begins later may be failed
    private static final double REUSE_SHARE = 0.6; // of requests, where a connection is open
    private static final double LEAVE_SHARE = 0.3; // of requests
    private static final double PARTIAL_SHARE = 0.1; // of those that leave: before the request is complete
    private static final double RESET_SHARE = 0.4; // of those that leave
    private static final double AT_ONCE_SHARE = 0.5; // of those that leave: right after the request
    private static final int MAX_LINGER_MILLIS = 250; // the others, at most
    private static final long MAX_HEAD_NANOS = TimeUnit.MILLISECONDS.toNanos(500); // else it is no slow reader
    private static final int MAX_THINK_MILLIS = 30;
    private static final int MIN_READ_PAUSE_MILLIS = 1_000; // within a large response
    private static final int READ_PAUSE_SPREAD_MILLIS = 500;
    private static final double RETURN_SHARE = 0.5; // of those that leave: the request is sent again
    private static final int MAX_RETURN_MILLIS = 100;
    private static final int REFUSED = 503;
    private static final int TOO_MANY_REQUESTS = 429;
    private static final int PARTIAL_LENGTH = 40; // within the head
    private static final String BODY = "abcdefgh";

    private final SoakPlan plan;
    private final int number;
    private final int maxRequests;
    private final Testbed testbed;
    private final List<SoakTarget> targets;
    private final List<String> failures;
    private final SplittableRandom random;
    private int targetIndex;
    private ClientSocket connection;
    private int next;
    private long firstByteAt = NOT_READ; // System.nanoTime, of a long response

    SoakClient(
            SoakPlan plan,
            int number,
            int maxRequests,
            Testbed testbed,
            List<SoakTarget> targets,
            List<String> failures) {
        this.plan = plan;
        this.number = number;
        this.maxRequests = maxRequests;
        this.testbed = testbed;
        this.targets = targets;
        this.failures = failures;
        this.targetIndex = number % plan.processes();
        this.random = new SplittableRandom(plan.seed() * 1_000 + number);
    }

    /** Sends requests until then, in µs of the testbed's clock. */
    void run(long until) throws InterruptedException {
        while (testbed.clock.now() < until && next < maxRequests) {
            Thread.sleep(random.nextInt(MAX_THINK_MILLIS));
            sendNext();
        }
        closeConnection();
    }

    private void sendNext() throws InterruptedException {
        // Behind SIGTERM a connection is used for as long as it stays open.
        boolean reused =
                random.nextDouble() < REUSE_SHARE || targets.get(targetIndex).isEnding();
        reused &= connection != null;
        if (!reused) {
            closeConnection();
            connection = connect();
            if (connection == null) {
                return; // nobody listens at present
            }
        }
        int request = next++;
        String id = plan.requestId(number, request);
        Scenario.RequestClass requestClass = plan.scenario()
                .classes()
                .get(request % plan.scenario().classes().size());
        if (random.nextDouble() < LEAVE_SHARE) {
            leave(id, requestClass);
            return;
        }
        request(id, requestClass, reused);
    }

    private void request(String id, Scenario.RequestClass requestClass, boolean reused) throws InterruptedException {
        testbed.ledger.recordSent(id, requestClass.effect(), targetIndex, testbed.clock.now());
        long sentAt = System.nanoTime();
        long pausedMicros = targets.get(targetIndex).pausedMicros();
        ClientSocket.Response response = exchange(id, requestClass);
        boolean mayCross = reused || plan.isCrowded(); // for want of descriptors a new one may be closed unread
        if (response.status() == 0 && mayCross && !targets.get(targetIndex).killedSince(sentAt)) {
            // The close of the connection crossed the request: the client retries on a new one, maybe elsewhere.
            closeConnection();
            connection = connect();
            testbed.ledger.recordSentAgain(id, response.text(), targetIndex, testbed.clock.now());
            if (connection == null) {
                testbed.ledger.recordOutcome(id, Ledger.RequestOutcome.NOT_TAKEN, testbed.clock.now());
                return;
            }
            response = exchange(id, requestClass);
        }
        record(id, requestClass, response, sentAt, targets.get(targetIndex).pausedMicros() - pausedMicros);
    }

    private ClientSocket.Response exchange(String id, Scenario.RequestClass requestClass) throws InterruptedException {
        firstByteAt = NOT_READ;
        boolean sent = connection.send(completeRequest(id, requestClass));
        if (!sent) {
            return new ClientSocket.Response(0, "not taken", false);
        }
        pauseWithinLargeResponse(id);
        ClientSocket.Response response = connection.response();
        LongResponse kind = LongResponse.of(id);
        if (kind != null && kind.isTimedByFirstBytes() && firstByteAt == NOT_READ && response.status() != 0) {
            firstByteAt = connection.firstByteAt();
        }
        return response;
    }

    // Longer than a connection is kept after its last response; the last byte of a large one waits for it.
    private void pauseWithinLargeResponse(String id) throws InterruptedException {
        if (LongResponse.of(id) != LongResponse.LARGE) {
            return;
        }
        long begin = System.nanoTime();
        while (!connection.hasResponse()) {
            if (System.nanoTime() - begin > MAX_HEAD_NANOS) {
                return;
            }
            Thread.sleep(1);
        }
        firstByteAt = System.nanoTime();
        Thread.sleep(MIN_READ_PAUSE_MILLIS + random.nextInt(READ_PAUSE_SPREAD_MILLIS));
    }

    private void record(
            String id,
            Scenario.RequestClass requestClass,
            ClientSocket.Response response,
            long sentAt,
            long pausedMicros) {
        boolean killed = targets.get(targetIndex).killedSince(sentAt);
        long took = TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - sentAt);
        Ledger.RequestOutcome last = switch (response.status()) {
            case 200 ->
                response.text().equals(LongResponse.body(id))
                        ? Ledger.RequestOutcome.SERVED
                        : Ledger.RequestOutcome.NONE;
            case 0 -> killed ? Ledger.RequestOutcome.LOST : Ledger.RequestOutcome.NONE;
            case 429, 503 -> Ledger.RequestOutcome.REFUSED;
            default -> response.status() < 500 ? Ledger.RequestOutcome.NOT_TAKEN : Ledger.RequestOutcome.FAILED;
        };
        if (last == Ledger.RequestOutcome.NONE) {
            testbed.ledger.note(id, "place " + targetIndex + ": " + response, testbed.clock.now());
        }
        boolean late = firstByteAt == NOT_READ
                ? took > requestClass.deadlineMicros() + LATE_MICROS + pausedMicros
                : isLargeResponseLate(requestClass, sentAt, pausedMicros);
        if (late && last != Ledger.RequestOutcome.LOST) {
            failures.add(id + " got its answer " + took / 1_000 + " ms after it was sent: " + response.status()
                    + (firstByteAt == NOT_READ ? "" : ", first bytes after " + millis(firstByteAt - sentAt)));
        }
        long sentMicros = testbed.clock.now() - took;
        if (last == Ledger.RequestOutcome.FAILED && isCutOff(id, requestClass, sentMicros - pausedMicros)) {
            failures.add(id + " failed " + took / 1_000 + " ms after it was sent, while its response was written: "
                    + testbed.ledger.history(id));
        }
        testbed.ledger.recordOutcome(id, last, testbed.clock.now());
        if (!response.reusable()) {
            closeConnection();
        }
    }

    // The first bytes of a long response are timed, and its rest may not be held back once the client reads on.
    private boolean isLargeResponseLate(Scenario.RequestClass requestClass, long sentAt, long pausedMicros) {
        long firstMicros = TimeUnit.NANOSECONDS.toMicros(firstByteAt - sentAt);
        long pauseMicros = TimeUnit.NANOSECONDS.toMicros(connection.longestPauseNanos());
        return firstMicros > requestClass.deadlineMicros() + LATE_MICROS + pausedMicros
                || pauseMicros > MAX_HOLD_MICROS + pausedMicros;
    }

    private static String millis(long nanos) {
        return TimeUnit.NANOSECONDS.toMillis(nanos) + " ms";
    }

    // A long response that has begun some time before the deadline is passed on, however slowly it is written.
    private boolean isCutOff(String id, Scenario.RequestClass requestClass, long sentMicros) {
        LongResponse kind = LongResponse.of(id);
        long beganInTimeMicros = sentMicros + requestClass.deadlineMicros() - DEADLINE_MARGIN_MICROS;
        return kind != null && kind.isSlow() && testbed.ledger.hasResponseBegunBy(id, beganInTimeMicros);
    }

    private void leave(String id, Scenario.RequestClass requestClass) throws InterruptedException {
        testbed.ledger.recordSent(id, requestClass.effect(), targetIndex, testbed.clock.now());
        boolean partial = random.nextDouble() < PARTIAL_SHARE;
        BalancerMember member = targets.get(targetIndex).upMember();
        connection.send(
                partial ? head(id, requestClass).substring(0, PARTIAL_LENGTH) : completeRequest(id, requestClass));
        if (random.nextDouble() >= AT_ONCE_SHARE) {
            Thread.sleep(random.nextInt(MAX_LINGER_MILLIS));
        }
        if (random.nextDouble() < RESET_SHARE) {
            connection.reset();
        } else {
            connection.close();
        }
        testbed.ledger.recordClientClose(id, testbed.clock.now());
        closeConnection();
        if (requestClass.effect() != Policy.Effect.SAFE && random.nextDouble() < RETURN_SHARE) {
            sendUnderTheSameId(id, requestClass, member);
        }
    }

    // To the same process: another one knows nothing of the request. The ledger says whether it runs twice.
    private void sendUnderTheSameId(String id, Scenario.RequestClass requestClass, BalancerMember member)
            throws InterruptedException {
        Thread.sleep(random.nextInt(MAX_RETURN_MILLIS));
        SoakTarget target = targets.get(targetIndex);
        if (member == null || !target.isUp(member)) {
            return;
        }
        try (ClientSocket returned = testbed.connect(member.address())) {
            testbed.ledger.recordReturn(id, targetIndex, testbed.clock.now());
            returned.send(completeRequest(id, requestClass));
            int status = returned.response().status();
            if (status == REFUSED || status == TOO_MANY_REQUESTS) {
                testbed.ledger.recordRefusedReturn(id, testbed.clock.now());
            }
            testbed.closed(returned);
        } catch (IOException e) {
            testbed.ledger.note(id, "nobody listens", testbed.clock.now());
        }
    }

    private static String head(String id, Scenario.RequestClass requestClass) {
        boolean safe = requestClass.effect() == Policy.Effect.SAFE;
        return (safe ? "GET" : "POST") + " /api/k HTTP/1.1\r\nHost: x\r\nReq-Id: " + id + "\r\nReq-Kind: "
                + requestClass.name() + "\r\nReq-Deadline-Ms: " + requestClass.deadlineMicros() / 1_000 + "\r\n"
                + (requestClass.effect() == Policy.Effect.KEYED ? "Idempotency-Key: " + id + "\r\n" : "")
                + (LongResponse.of(id) == LongResponse.LARGE ? "Connection: close\r\n" : "")
                + (safe ? "\r\n" : "Content-Length: " + BODY.length() + "\r\n\r\n");
    }

    private static String completeRequest(String id, Scenario.RequestClass requestClass) {
        return requestClass.effect() == Policy.Effect.SAFE ? head(id, requestClass) : head(id, requestClass) + BODY;
    }

    // Where its own process accepts nobody at present it goes to the next one that does.
    private ClientSocket connect() throws InterruptedException {
        for (int i = 0; i < targets.size(); i++) {
            targetIndex = (number + i) % targets.size();
            InetSocketAddress to = targets.get(targetIndex).address(NEW_CONNECTIONS_NANOS);
            if (to != null) {
                try {
                    return testbed.connect(to);
                } catch (IOException e) {
                    // It has just been closed: the next one is tried.
                }
            }
        }
        return null;
    }

    private void closeConnection() {
        if (connection != null) {
            connection.close();
            testbed.closed(connection);
            connection = null;
        }
    }
}
