package loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import loadbalancer.policy.Policy.Effect;
import loadbalancer.policy.Policy.ListKind;
import loadbalancer.policy.Policy.RequestClass;
import loadbalancer.policy.Policy.Scope;
import loadbalancer.policy.Policy.Server;
import loadbalancer.policy.Policy.State;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Fourteen balancers before sixty servers, counted over all of them. */
class FleetTest {
    private static final double[] SHARES = {0.75, 0.25};
    private static final int BALANCERS = 14;
    private static final int SERVERS = 60;
    private static final long WORK = 30_000;
    private static final double RATE = 0.7 * SERVERS * 1e6 / WORK;

    private static final int DRAWS = 12;

    private static final int MANY = 100;
    private static final int MANY_SERVERS = 200;
    private static final long MANY_WORK = 300_000;
    private static final double MANY_RATE = 2.5 * MANY_SERVERS * 1e6 / MANY_WORK; // all that they can do

    private static Policy.Settings settings() {
        RequestClass order = new RequestClass(Effect.UNSAFE, Scope.ALL, 0, 600_000, 2_500_000, 0, 3, 0.2, false);
        RequestClass urgent =
                new RequestClass(Effect.KEYED, Scope.CELL, 1_000_000, 250_000, 500_000, 0, 9, 0.25, false);
        return new Policy.Settings(
                BALANCERS,
                0,
                0,
                List.of(order, urgent),
                List.of(),
                0.1,
                new Policy.Goal(1, 0, 0, 0),
                new Policy.Prices(0, 0),
                true,
                Policy.Discovery.PUSH,
                Policy.Reports.NONE,
                false,
                new Policy.Limits(3, true, true, true, 120_000, 0),
                new Policy.Bounds(8_000, 1_000_000, 10_000_000, 0.3, 6_000_000, 3, 1_000_000, 0),
                2_000);
    }

    private static List<Server> servers(String name, State state, long startedAt, int from, int to) {
        List<Server> list = new ArrayList<>();
        for (int i = from; i < to; i++) {
            list.add(new Server(name + i, state, startedAt, 1, i / 4, 0, 0));
        }
        return list;
    }

    /**
     * By steps alone the level rose seconds too late, and stayed for as long once more: 0.87 to 0.89 in a draw.
     * Single draws now lie between 0.88 and 0.92, so the mean of many is what tells the two apart.
     */
    @Test
    void whenAThirdIsReplacedTheFleetIsNeitherCrushedNorLeftIdle() {
        List<String> figures = new ArrayList<>();
        double sum = 0;
        for (int seed = 1; seed <= DRAWS; seed++) {
            FleetModel fleet = new FleetModel(settings(), servers("s", State.UP, 0, 0, SERVERS), seed);
            fleet.run(5_000_000, RATE, SHARES, WORK);
            int[] calm = {fleet.inTime[0], fleet.inTime[1], fleet.asked[0], fleet.asked[1]};
            fleet.change(servers("s", State.DRAINING, 0, 0, 24));
            fleet.run(4_000_000, RATE, SHARES, WORK);
            fleet.change(servers("new", State.UP, fleet.now, 0, 24));
            fleet.run(6_000_000, RATE, SHARES, WORK);
            double before = (calm[0] + 3.0 * calm[1]) / (calm[2] + 3.0 * calm[3]);
            double since = (fleet.inTime[0] - calm[0] + 3.0 * (fleet.inTime[1] - calm[1]))
                    / (fleet.asked[0] - calm[2] + 3.0 * (fleet.asked[1] - calm[3]));
            figures.add("seed " + seed + ": worth in time before " + before + ", since " + since
                    + ", refused " + fleet.refused[0] + " and " + fleet.refused[1] + " of " + fleet.asked[0]
                    + " and " + fleet.asked[1]);
            assertTrue(before > 0.9 && since > 0.87, figures.get(seed - 1));
            sum += since;
        }
        assertTrue(sum / DRAWS > 0.9, sum / DRAWS + " of " + figures);
    }

    /** Rule 4 over all balancers, whose configured number is right or wrong by a third; a margin for varying work. */
    @ParameterizedTest
    @CsvSource({"14, 0.4", "14, 0.7", "14, 0.95", "19, 0.7", "10, 0.7", "19, 0.95"})
    void noColdServerIsPushedOverByAllBalancersTogether(int balancers, double load) {
        double rate = load * SERVERS * 1e6 / WORK;
        for (int seed = 1; seed <= 3; seed++) {
            FleetModel fleet = new FleetModel(settings(), balancers, servers("s", State.UP, 0, 0, SERVERS), seed);
            fleet.run(4_000_000, rate, SHARES, WORK);
            fleet.change(servers("s", State.DRAINING, 0, 0, 20));
            fleet.slow("new", 1.5);
            fleet.run(1_500_000, rate, SHARES, WORK);
            fleet.change(servers("new", State.UP, fleet.now, 0, 20));
            fleet.run(7_000_000, rate, SHARES, WORK);
            assertTrue(fleet.worstCold <= 0.8, balancers + " at " + load + ": " + fleet.worstCold);
            assertTrue(fleet.coldSends > 100, "they are used: " + fleet.coldSends);
        }
    }

    /**
     * Four busy balancers that have just started, before a hundred idle servers: by counts that began at
     * nothing each used six servers at first, and 151 to 202 of some 1,180 requests were refused.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void aBusyBalancerUsesAsManyServersAsItNeedsFromTheStart(long seed) {
        Policy.Settings s = settings();
        RequestClass read = new RequestClass(Effect.SAFE, Scope.ALL, 0, 2_000_000, 8_000_000, 0, 1, 0.2, false);
        FleetModel fleet = new FleetModel(
                new Policy.Settings(
                        4,
                        0,
                        0,
                        List.of(read, read),
                        List.of(),
                        0.1,
                        s.goal(),
                        s.prices(),
                        false,
                        s.discovery(),
                        s.reports(),
                        false,
                        s.limits(),
                        s.bounds(),
                        2_000),
                4,
                servers("s", State.UP, 0, 0, 100),
                seed);
        fleet.run(10_000_000, 0.6 * 100 * 1e6 / 500_000, SHARES, 500_000);
        int asked = fleet.asked[0] + fleet.asked[1];
        int refused = fleet.refused[0] + fleet.refused[1];
        assertTrue(refused < 0.02 * asked, refused + " refused of " + asked);
    }

    /** A hundred balancers, each with some ten requests a second, where a handshake has a price. */
    private static FleetModel many(long seed) {
        return many(MANY, seed);
    }

    private static FleetModel many(int instances, long seed) {
        RequestClass order = new RequestClass(Effect.UNSAFE, Scope.ALL, 0, 2_400_000, 9_800_000, 0, 3, 0.2, false);
        RequestClass urgent =
                new RequestClass(Effect.KEYED, Scope.CELL, 4_000_000, 980_000, 2_000_000, 0, 9, 0.25, false);
        Policy.Settings s = settings();
        return new FleetModel(
                new Policy.Settings(
                        MANY,
                        0,
                        0,
                        List.of(order, urgent),
                        List.of(),
                        0.1,
                        s.goal(),
                        new Policy.Prices(0, 0.08),
                        true,
                        Policy.Discovery.ASK,
                        Policy.Reports.ANSWERS,
                        false,
                        s.limits(),
                        s.bounds(),
                        2_000),
                instances,
                twoKinds("s", 0, 0, MANY_SERVERS),
                seed);
    }

    // Every other one is four times as fast, and listed so.
    private static List<Server> twoKinds(String name, long startedAt, int from, int to) {
        return servers(name, State.UP, startedAt, from, to).stream()
                .map(x -> new Server(
                        x.id(),
                        x.state(),
                        x.startedAtMicros(),
                        x.id().hashCode() % 2 == 0 ? 4 : 1,
                        x.cell(),
                        x.id().hashCode() & 1,
                        0))
                .toList();
    }

    /** Chosen by queues alone: 0.28 to 0.31 connections for each request. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void aHundredBalancersUseTheConnectionsThatTheyHave(long seed) {
        FleetModel fleet = many(seed);
        fleet.run(4_000_000, 0.9 * MANY_RATE, SHARES, MANY_WORK);
        int before = fleet.asked[0] + fleet.asked[1];
        int opened = fleet.opened;
        fleet.run(6_000_000, 0.9 * MANY_RATE, SHARES, MANY_WORK);
        double each = (fleet.opened - opened) / (double) (fleet.asked[0] + fleet.asked[1] - before);
        assertTrue(each < 0.25, "connections for each request: " + each);
        double late = 1 - fleet.inTime[1] / (double) fleet.asked[1];
        assertTrue(late < 0.04, "the dearest class, late: " + late);
    }

    /**
     * Rule 4 where each balancer sends a cold server one request in a while, configured with their number or too few,
     * just started or for long at work. By the fleet's mean alone, of which only the few balancers with the
     * server in their subset made use, 56 requests reached sixty newcomers in 6 s at the lower load, and 387
     * since. What the fullest of sixty got differs by a tenth from draw to draw, so several are drawn.
     */
    @ParameterizedTest
    @CsvSource({"100, 0.6, 3, 8", "100, 0.9, 3, 8", "133, 0.9, 3, 8", "100, 0.9, 25, 2", "133, 0.9, 25, 2"})
    void aHundredBalancersPushNoColdServerOver(int balancers, double load, int age, int draws) {
        double sum = 0;
        for (int seed = 1; seed <= draws; seed++) {
            FleetModel fleet = many(balancers, seed);
            fleet.run(age * 1_000_000L, load * MANY_RATE, SHARES, MANY_WORK);
            fleet.change(servers("s", State.DRAINING, 0, 0, 60));
            fleet.slow("new", 1.5);
            fleet.run(1_500_000, load * MANY_RATE, SHARES, MANY_WORK);
            fleet.change(twoKinds("new", fleet.now, 0, 60));
            fleet.run(6_000_000, load * MANY_RATE, SHARES, MANY_WORK);
            String figures = balancers + " at " + load + ", seed " + seed + ": " + fleet.worstFall + " of a fall, "
                    + fleet.worstCold + " of what is allowed";
            assertTrue(fleet.worstFall <= 0.65, figures);
            assertTrue(fleet.coldSends > 200, "they are used: " + fleet.coldSends);
            sum += fleet.worstCold;
        }
        // By those that have long been at work more is sent: up to 1.21 in sixteen draws, 1.03 in the mean.
        assertTrue(sum / draws <= (age > 3 ? 1.15 : 0.8), balancers + " at " + load + ": " + sum / draws);
    }

    /** A discovery that fails for all at once gets their next calls spread over half a second. */
    @Test
    void aHundredBalancersDoNotAskForTheListTogether() {
        FleetModel fleet = many(1);
        fleet.run(1_000_000, 0.6 * MANY_RATE, SHARES, MANY_WORK);
        fleet.balancers.forEach(b -> b.list(ListKind.PARTIAL, List.of()).list(ListKind.FAILED, List.of()));
        int before = calls(fleet);
        int maxCalls = 0;
        int called = before;
        for (int i = 0; i < 20; i++) {
            fleet.run(50_000, 0.6 * MANY_RATE, SHARES, MANY_WORK);
            maxCalls = Math.max(maxCalls, calls(fleet) - called);
            called = calls(fleet);
        }
        assertEquals(MANY, called - before, "each asks once within a second");
        assertTrue(maxCalls <= 25, "calls within 50 ms: " + maxCalls);
    }

    private static int calls(FleetModel fleet) {
        return fleet.balancers.stream().mapToInt(b -> b.watches).sum();
    }
}
