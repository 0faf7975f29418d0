package loadbalancer.testbed;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import loadbalancer.policy.Policy;
import loadbalancer.testbed.fleet.BalancerMember;
import loadbalancer.testbed.fleet.ClientSocket;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** A process of the program that has no descriptors left: accept fails with EMFILE until a client closes. */
@Timeout(300)
class FailedAcceptTest {
    private static final int DESCRIPTORS_FOR_CLIENTS = 20;
    private static final int CLIENTS = 100;
    private static final int WAITING = 20;
    private static final long SETTLE_MILLIS = 300;
    private static final long MAX_MILLIS = 4_000; // those at rest are closed after 5 s, which would help

    private static Testbed testbed() throws InterruptedException {
        Scenario scenario = new Scenario(
                "accept",
                7,
                0,
                0,
                0,
                new Scenario.SlowStart(1, 1, 1_000, 1_000_000, 1_000_000),
                List.of(new Scenario.ServerGroup("server", 1, 512, 1, 10_000, "a", "m", 1)),
                List.of(new Scenario.RequestClass(
                        "order", Policy.Effect.UNSAFE, 1, 1_000, 1_000_000, 2_000_000, 1, 1, 0)),
                List.of());
        return new Testbed(DemoTest.CLASS_PATH, scenario, List.of());
    }

    /** One descriptor is free at a time: each client in the queue gets it soon, not a second later. */
    @Test
    void aFailedAcceptIsRetriedSoon() throws IOException, InterruptedException {
        try (Testbed testbed = testbed();
                BalancerMember member = BalancerMember.start(DemoTest.CLASS_PATH, testbed.configuration(0, 1))) {
            member.awaitReady();
            assertTrue(
                    member.log().stream().noneMatch(line -> line.contains("event=accept_failed")),
                    () -> "accept failed before the limit: " + member.log());
            member.limitDescriptors(member.openDescriptors() + DESCRIPTORS_FOR_CLIENTS);
            List<ClientSocket> clients = new ArrayList<>();
            for (int i = 0; i < CLIENTS; i++) {
                clients.add(testbed.connect(member.address()));
                assertTrue(clients.get(i).send("GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n"));
            }
            member.line("event=accept_failed ");
            Thread.sleep(SETTLE_MILLIS);
            int accepted =
                    (int) clients.stream().filter(ClientSocket::hasResponse).count();
            assertTrue(accepted > 0 && accepted + WAITING < CLIENTS, () -> accepted + " were accepted");
            long begin = System.nanoTime();
            ClientSocket previous = clients.get(0);
            for (ClientSocket next : clients.subList(accepted, accepted + WAITING)) {
                previous.close();
                assertEquals(200, next.response().status());
                previous = next;
            }
            long millis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - begin);
            assertTrue(millis < MAX_MILLIS, () -> "it took " + millis + " ms");
            assertTrue(member.log().stream().noneMatch(line -> line.startsWith("\tat ")), "no stack trace");
        }
    }
}
