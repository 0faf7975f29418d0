package loadbalancer.connections;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/**
 * Simulates the share of accepted requests as a function of the connection turnover, relative to the turnover that the
 * limit allows. Three strategies are compared: keeping every connection open, closing each connection after its
 * response, and the budget. Some clients send one request and keep their connection open for 2 s, others send a request
 * every 0.1 s.
 */
class TurnoverTest {
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final long DURATION_SECONDS = 20;
    private static final int DESCRIPTORS = 128; // 64 connections in total, 52 for clients

    enum Strategy {
        KEEP,
        CLOSE,
        BUDGET
    }

    private record Event(long timeNanos, Runnable action) {}

    /** A simulation and its counters. */
    private static final class Simulation {
        final Strategy strategy;
        final PriorityQueue<Event> events = new PriorityQueue<>((a, b) -> Long.compare(a.timeNanos(), b.timeNanos()));
        final SplittableRandom random = new SplittableRandom(11);
        final ConnectionBudget budget = new ConnectionBudget(ConnectionLimits.of(DESCRIPTORS), 0);
        long nowNanos;
        int offered;
        int accepted;
        int reused;

        Simulation(Strategy strategy) {
            this.strategy = strategy;
        }

        void schedule(long timeNanos, Runnable action) {
            events.add(new Event(timeNanos, action));
        }

        Simulation simulate(int singleRequestsPerSecond, int regularClients) {
            for (int i = 0; i < regularClients; i++) {
                RegularClient regular = new RegularClient("r" + i);
                schedule((long) (random.nextDouble() * 100 * NANOS_PER_MILLI), regular::sendRequest);
            }
            if (singleRequestsPerSecond > 0) {
                schedule(0, () -> sendSingleRequest(singleRequestsPerSecond));
            }
            schedule(0, this::closeExpired);
            while (!events.isEmpty() && events.peek().timeNanos() < DURATION_SECONDS * 1_000 * NANOS_PER_MILLI) {
                Event next = events.poll();
                nowNanos = next.timeNanos();
                next.action().run();
            }
            return this;
        }

        private void closeExpired() {
            if (strategy == Strategy.BUDGET) {
                budget.closeExpired(nowNanos);
            }
            schedule(nowNanos + 200 * NANOS_PER_MILLI, this::closeExpired);
        }

        private boolean admit() {
            return strategy == Strategy.BUDGET
                    ? budget.evictToAdmit(Direction.CLIENT, nowNanos)
                    : budget.admits(Direction.CLIENT, nowNanos);
        }

        private boolean staysOpen(ConnectionPermit permit) {
            return respond(budget, permit, strategy != Strategy.CLOSE, false, nowNanos);
        }

        // Reports part of another request, so that the connection stays open regardless of the budget's decision.
        private void keepOpen(ConnectionPermit permit) {
            respond(budget, permit, true, true, nowNanos);
        }

        private void sendSingleRequest(int requestsPerSecond) {
            schedule(
                    nowNanos
                            + (long) (-Math.log(1 - random.nextDouble()) * 1_000 * NANOS_PER_MILLI / requestsPerSecond),
                    () -> sendSingleRequest(requestsPerSecond));
            offered++;
            if (!admit()) {
                return;
            }
            accepted++;
            ConnectionPermit permit = budget.openClient("once" + offered, 1, () -> {}, nowNanos);
            budget.requestReceived(permit, nowNanos);
            schedule(nowNanos + 10 * NANOS_PER_MILLI, () -> {
                if (strategy == Strategy.KEEP) {
                    keepOpen(permit);
                    schedule(nowNanos + 2_000 * NANOS_PER_MILLI, () -> budget.closed(permit, nowNanos));
                } else if (staysOpen(permit)) {
                    schedule(nowNanos + 2_000 * NANOS_PER_MILLI, () -> budget.closed(permit, nowNanos));
                } else {
                    budget.closed(permit, nowNanos);
                }
            });
        }

        /** A client that sends a request every 0.1 s and reuses its connection if it is open. */
        private final class RegularClient {
            private final String address;
            private ConnectionPermit permit;

            RegularClient(String address) {
                this.address = address;
            }

            void sendRequest() {
                schedule(nowNanos + 100 * NANOS_PER_MILLI, this::sendRequest);
                offered++;
                boolean reusesConnection = permit != null && (strategy == Strategy.KEEP || permit.isIdle());
                if (!reusesConnection && !admit()) {
                    return;
                }
                accepted++;
                reused += reusesConnection ? 1 : 0;
                if (!reusesConnection) {
                    permit = budget.openClient(address, 1, () -> {}, nowNanos);
                }
                ConnectionPermit current = permit;
                budget.requestReceived(current, nowNanos);
                schedule(nowNanos + 10 * NANOS_PER_MILLI, () -> {
                    if (strategy == Strategy.KEEP) {
                        keepOpen(current);
                    } else if (!staysOpen(current)) {
                        budget.closed(current, nowNanos);
                        permit = null;
                    }
                });
            }
        }
    }

    @Test
    void budgetAcceptsNearlyAllRequestsWhereKeepingAllConnectionsDoesNot() {
        List<String> rows = new ArrayList<>();
        double minBudgetShare = 1;
        double keepShareAtFactorFive = 1;
        for (int loadFactor : new int[] {0, 1, 2, 5, 10}) {
            StringBuilder row = new StringBuilder();
            row.append(String.format(Locale.ROOT, "%2d times the turnover:", loadFactor));
            for (Strategy strategy : Strategy.values()) {
                // 42 connections that are open for 2 s each: 21 per second
                Simulation run = new Simulation(strategy).simulate(loadFactor * 21, 10);
                double acceptedShare = (double) run.accepted / run.offered;
                row.append(String.format(
                        Locale.ROOT,
                        "  %s accepted %.3f, reused %.2f",
                        strategy,
                        acceptedShare,
                        (double) run.reused / run.accepted));
                minBudgetShare = strategy == Strategy.BUDGET ? Math.min(minBudgetShare, acceptedShare) : minBudgetShare;
                keepShareAtFactorFive =
                        strategy == Strategy.KEEP && loadFactor == 5 ? acceptedShare : keepShareAtFactorFive;
                if (strategy == Strategy.BUDGET && loadFactor == 0) {
                    assertTrue(
                            run.reused > run.accepted * 0.98, "regular clients lost connections without need: " + row);
                }
                if (strategy == Strategy.CLOSE) {
                    assertEquals(0, run.reused);
                }
            }
            rows.add(row.toString());
        }
        rows.forEach(System.out::println);
        assertTrue(minBudgetShare > 0.99, "the budget rejected too many requests: " + rows);
        assertTrue(keepShareAtFactorFive < 0.7, "keeping all connections open should accept fewer requests: " + rows);
    }

    /** Sends a response that is written to the socket at once; returns whether the connection stays open. */
    private static boolean respond(
            ConnectionBudget budget, ConnectionPermit permit, boolean keepAlive, boolean partial, long nowNanos) {
        boolean staysOpen = budget.completeResponse(permit, keepAlive, partial, nowNanos);
        budget.responseSent(permit, nowNanos);
        return staysOpen;
    }
}
