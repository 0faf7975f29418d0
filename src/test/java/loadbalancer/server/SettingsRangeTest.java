package loadbalancer.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.jr.ob.JSON;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import loadbalancer.config.Config;
import loadbalancer.policy.JsqDasPolicy;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Settings of the range that customers have, as the variants in deploy/sites do: the balancer with its own
 * policy serves under the four rules before upstreams that fail in turn.
 */
@Timeout(120)
class SettingsRangeTest {
    private static final int UPSTREAMS = 4; // two cells, and two zones where there are any
    private static final int CLIENTS = 6;
    private static final int REQUESTS_PER_CLIENT = 40;

    /** An attempt whose request an upstream has read completely. */
    private record Run(int upstream, boolean ran, long at) {}

    private final Map<String, List<Run>> runs = new ConcurrentHashMap<>();
    private final List<ScriptedUpstream> upstreams = new ArrayList<>();
    private final AtomicInteger requestNumber = new AtomicInteger();
    private volatile boolean over;

    private static Map<String, Object> kind(
            String name, String effect, String scope, int aimMs, int deadlineMs, int memoryMs) {
        return Map.of(
                "Name",
                name,
                "Idempotency",
                effect,
                "DedupScope",
                scope,
                "GoalTime",
                aimMs * 1000,
                "GiveUp",
                deadlineMs * 1000,
                "KeyTtl",
                memoryMs * 1000,
                "Gain",
                2,
                "LateShare",
                0.3);
    }

    private static Map<String, Object> settings(
            String mode,
            String reports,
            boolean cancel,
            boolean copies,
            int tries,
            int idleMs,
            List<String> areas,
            List<Map<String, Object>> realms,
            List<Map<String, Object>> classes) {
        Map<String, Object> all = new HashMap<>();
        all.put("Balancers", 3);
        all.put("Rank", 1);
        all.put("Classes", classes);
        all.put("Realms", realms);
        all.put(
                "Limits",
                Map.of(
                        "TryLimit",
                        tries,
                        "MayDuplicate",
                        copies,
                        "Cancel",
                        cancel,
                        "Probes",
                        false,
                        "DialTimeout",
                        100_000,
                        "IdleClose",
                        idleMs * 1000));
        all.put("MembershipMode", mode);
        all.put(
                "Rules",
                Map.of(
                        "AnswerSlack",
                        8_000,
                        "DrainGrace",
                        1_000_000,
                        "AskWithin",
                        10_000_000,
                        "ColdFrom",
                        0.4,
                        "RampTime",
                        5_000_000,
                        "OverloadFactor",
                        2.5,
                        "Fall",
                        1_500_000));
        all.put("Quantum", 1_000);
        all.put("Areas", areas);
        all.put("Kinds", List.of("only"));
        all.put("Stats", Map.of("How", reports, "Fields", List.of()));
        return all;
    }

    // Each tenth one of them in turn; what is declined or whose connection is refused never ran.
    private void serve(int upstream) {
        while (!over) {
            try {
                ScriptedUpstream.Got got = upstreams.get(upstream).next();
                int n = requestNumber.incrementAndGet() % 10;
                boolean ran = n != 3;
                runs.computeIfAbsent(got.header("Req-Id"), id -> new CopyOnWriteArrayList<>())
                        .add(new Run(upstream, ran, System.nanoTime()));
                switch (n) {
                    case 3 -> got.answer(503, "Srv-Declined: 1\r\n", "");
                    case 5 -> got.answer(500, "", "");
                    case 7 -> got.reset();
                    default -> got.answer(200, "", got.header("Req-Id"));
                }
            } catch (IOException e) {
                continue; // the balancer had given it up
            } catch (InterruptedException | AssertionError e) {
                return;
            }
        }
    }

    private String list(int rev, boolean all, int from, String state, List<String> areas) {
        StringBuilder text = new StringBuilder("{\"rev\":" + rev + ",\"all\":" + all + ",\n  \"targets\":[");
        for (int i = from; i < (all ? UPSTREAMS : from + 1); i++) {
            text.append(i > from ? "," : "")
                    .append("\n{\"uid\":\"b")
                    .append(i)
                    .append("\",\"endpoint\":\"")
                    .append(upstreams.get(i).address())
                    .append("\",\"model\":\"only\",\"pod_group\":")
                    .append(i / 2)
                    .append(areas.isEmpty() ? "" : ",\"az\":\"" + areas.get(i % areas.size()) + "\"")
                    .append(",\"state\":\"")
                    .append(state)
                    .append("\",\"capacity_hint\":1.0,\"boot_ms\":0}");
        }
        return text + "]}\n";
    }

    private void play(Map<String, Object> settings, List<String> areas, List<Map<String, Object>> classes)
            throws Exception {
        for (int i = 0; i < UPSTREAMS; i++) {
            upstreams.add(new ScriptedUpstream());
        }
        ScriptedUpstream discovery = new ScriptedUpstream();
        ExecutorService threads = Executors.newCachedThreadPool();
        Config config = Config.of(
                Map.of(),
                Map.of(
                        "name",
                        "n1",
                        "listen",
                        "127.0.0.1:0",
                        "discovery",
                        discovery.address(),
                        "seed",
                        "8c1f30d27a5be964",
                        "limits",
                        Map.of("sockets", 256),
                        "settings",
                        settings,
                        "known",
                        JSON.std.mapFrom(list(1, true, 0, "in_service", areas))));
        LoadBalancerServer node = new LoadBalancerServer(config, JsqDasPolicy::new, true, line -> {});
        try {
            InetSocketAddress at = node.start();
            ScriptedUpstream.Got watch = discovery.next();
            watch.raw("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                    + ServerFixture.chunk(list(2, true, 0, "in_service", areas)));
            assertTrue(node.awaitReady(60_000));
            for (int i = 0; i < UPSTREAMS; i++) {
                int upstream = i;
                threads.submit(() -> serve(upstream));
            }
            AtomicInteger served = new AtomicInteger();
            clients(threads, at, classes, "a", served);
            watch.raw(ServerFixture.chunk(list(3, false, 0, "terminating", areas)));
            long drainedAt = System.nanoTime();
            TimeUnit.MILLISECONDS.sleep(1_050); // the grace itself
            clients(threads, at, classes, "b", served);
            assertTrue(
                    served.get() > CLIENTS * REQUESTS_PER_CLIENT,
                    "served " + served + " of " + 2 * CLIENTS * REQUESTS_PER_CLIENT);
            long after = drainedAt + TimeUnit.MILLISECONDS.toNanos(1_050);
            assertEquals(
                    List.of(),
                    runs.entrySet().stream()
                            .filter(e -> e.getValue().stream().anyMatch(r -> r.upstream() == 0 && r.at() > after))
                            .map(Map.Entry::getKey)
                            .toList(),
                    "sent to the drained one");
        } finally {
            over = true;
            node.stop();
            threads.shutdownNow();
            discovery.close();
            for (ScriptedUpstream upstream : upstreams) {
                upstream.close();
            }
        }
    }

    private void clients(
            ExecutorService threads,
            InetSocketAddress at,
            List<Map<String, Object>> classes,
            String mark,
            AtomicInteger served)
            throws Exception {
        List<Future<?>> all = new ArrayList<>();
        for (int c = 0; c < CLIENTS; c++) {
            String name = mark + c + "-";
            all.add(threads.submit(() -> {
                for (int i = 0; i < REQUESTS_PER_CLIENT; i++) {
                    sendRequest(at, classes.get(i % classes.size()), name + i, served);
                }
                return null;
            }));
        }
        for (Future<?> one : all) {
            one.get(60, TimeUnit.SECONDS);
        }
    }

    private void sendRequest(InetSocketAddress at, Map<String, Object> kind, String id, AtomicInteger served)
            throws IOException {
        String effect = (String) kind.get("Idempotency");
        boolean safe = effect.equals("safe");
        try (ServerFixture.Client client = new ServerFixture.Client(at)) {
            client.send((safe ? "GET" : "POST") + " /api/k HTTP/1.1\r\nReq-Id: " + id + "\r\nReq-Kind: "
                    + kind.get("Name") + "\r\nReq-Owner: public\r\nReq-Deadline-Ms: "
                    + (int) kind.get("GiveUp") / 1000 + "\r\n"
                    + (effect.equals("keyed") ? "Idempotency-Key: " + id + "\r\n" : "")
                    + (safe ? "\r\n" : "Content-Length: 1\r\n\r\nx"));
            int status = client.status();
            List<Run> attempts = runs.getOrDefault(id, List.of());
            List<Run> ran = attempts.stream().filter(Run::ran).toList();
            String what = id + " " + kind + ": " + status + ", " + attempts;
            assertTrue(status == 200 || status == 502 || status == 503, what);
            if (status == 200) {
                served.incrementAndGet();
                assertEquals(id, new String(client.body), what);
            }
            boolean all = kind.get("DedupScope").equals("all");
            if (effect.equals("unsafe")) {
                assertTrue(ran.isEmpty() || attempts.indexOf(ran.get(0)) == attempts.size() - 1, what);
            }
            if (status == 503 && !safe && !(effect.equals("keyed") && all)) {
                assertTrue(ran.isEmpty(), "refused though it may have run: " + what);
            }
            if (effect.equals("keyed") && kind.get("DedupScope").equals("cell")) {
                assertTrue(ran.stream().map(r -> r.upstream() / 2).distinct().count() <= 1, what);
            }
            if (effect.equals("keyed") && kind.get("DedupScope").equals("zone")) {
                assertTrue(ran.stream().map(r -> r.upstream() % 2).distinct().count() <= 1, what);
            }
        }
    }

    @Test
    void pushedWithoutZonesReportsOrCancellingAndOneShortAttempt() throws Exception {
        List<Map<String, Object>> classes = List.of(
                kind("price", "safe", "all", 90, 180, 0),
                kind("basket", "keyed", "all", 300, 900, 600),
                kind("pay", "unsafe", "all", 700, 1_500, 0));
        play(settings("push", "none", false, false, 1, 2_000, List.of(), List.of(), classes), List.of(), classes);
    }

    @Test
    void askedWithZonesTenantsManyAttemptsAndNoCopies() throws Exception {
        List<String> zones = List.of("north", "south");
        List<Map<String, Object>> classes = List.of(
                kind("look-up", "safe", "all", 250, 1_000, 0),
                kind("triage", "keyed", "zone", 200, 600, 400),
                kind("admit", "unsafe", "all", 900, 3_000, 0),
                kind("bill", "keyed", "cell", 1_200, 2_500, 2_000));
        Map<String, Object> all = settings(
                "ask",
                "probe",
                true,
                false,
                6,
                5_000,
                zones,
                List.of(
                        Map.of("Name", "public", "AllowancePerS", 400),
                        Map.of("Name", "private", "AllowancePerS", 100)),
                classes);
        all.put("Locality", 0);
        play(all, zones, classes);
    }
}
