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
 * Simulates the share of accepted requests against the turnover of connections that the limit allows: for keeping
 * every connection, for closing each after its response, and for the budget. Some clients send one request and keep
 * their connection for 2 s unused, others send a request every 0.1 s.
 */
class TurnoverTest {
    private static final long MILLIS = 1_000_000;
    private static final long DURATION_SECONDS = 20;
    private static final int DESCRIPTORS = 128; // 64 connections in all, 52 for clients

    enum Strategy {
        KEEP,
        CLOSE,
        BUDGET
    }

    private record Event(long at, Runnable action) {}

    /** One simulation, and what it counts. */
    private static final class Run {
        final Strategy strategy;
        final PriorityQueue<Event> events = new PriorityQueue<>((a, b) -> Long.compare(a.at(), b.at()));
        final SplittableRandom random = new SplittableRandom(11);
        final ConnectionBudget budget = new ConnectionBudget(ConnectionLimits.of(DESCRIPTORS), 0);
        long now;
        int offered;
        int accepted;
        int reused;

        Run(Strategy strategy) {
            this.strategy = strategy;
        }

        void at(long time, Runnable action) {
            events.add(new Event(time, action));
        }

        Run simulate(int singleRequestsPerSecond, int regularClients) {
            for (int i = 0; i < regularClients; i++) {
                RegularClient regular = new RegularClient("r" + i);
                at((long) (random.nextDouble() * 100 * MILLIS), regular::sendRequest);
            }
            if (singleRequestsPerSecond > 0) {
                at(0, () -> sendSingleRequest(singleRequestsPerSecond));
            }
            at(0, this::closeExpired);
            while (!events.isEmpty() && events.peek().at() < DURATION_SECONDS * 1_000 * MILLIS) {
                Event next = events.poll();
                now = next.at();
                next.action().run();
            }
            return this;
        }

        private void closeExpired() {
            if (strategy == Strategy.BUDGET) {
                budget.closeExpired(now);
            }
            at(now + 200 * MILLIS, this::closeExpired);
        }

        private boolean admit() {
            return strategy == Strategy.BUDGET
                    ? budget.evictToAdmit(Direction.CLIENT, now)
                    : budget.admits(Direction.CLIENT, now);
        }

        private boolean staysOpen(ConnectionPermit permit) {
            return budget.responseSent(permit, strategy != Strategy.CLOSE, false, now);
        }

        // Reported with part of another request, so that it stays open whatever the budget would decide.
        private void keep(ConnectionPermit permit) {
            budget.responseSent(permit, true, true, now);
        }

        private void sendSingleRequest(int requestsPerSecond) {
            at(
                    now + (long) (-Math.log(1 - random.nextDouble()) * 1_000 * MILLIS / requestsPerSecond),
                    () -> sendSingleRequest(requestsPerSecond));
            offered++;
            if (!admit()) {
                return;
            }
            accepted++;
            ConnectionPermit permit = budget.openClient("once" + offered, 1, () -> {}, now);
            budget.requestReceived(permit, now);
            at(now + 10 * MILLIS, () -> {
                if (strategy == Strategy.KEEP) {
                    keep(permit);
                    at(now + 2_000 * MILLIS, () -> budget.closed(permit, now));
                } else if (staysOpen(permit)) {
                    at(now + 2_000 * MILLIS, () -> budget.closed(permit, now));
                } else {
                    budget.closed(permit, now);
                }
            });
        }

        /** A client that sends a request every 0.1 s, on the connection that it has. */
        private final class RegularClient {
            private final String address;
            private ConnectionPermit permit;

            RegularClient(String address) {
                this.address = address;
            }

            void sendRequest() {
                at(now + 100 * MILLIS, this::sendRequest);
                offered++;
                boolean reusesConnection = permit != null && (strategy == Strategy.KEEP || permit.isIdle());
                if (!reusesConnection && !admit()) {
                    return;
                }
                accepted++;
                reused += reusesConnection ? 1 : 0;
                if (!reusesConnection) {
                    permit = budget.openClient(address, 1, () -> {}, now);
                }
                ConnectionPermit current = permit;
                budget.requestReceived(current, now);
                at(now + 10 * MILLIS, () -> {
                    if (strategy == Strategy.KEEP) {
                        keep(current);
                    } else if (!staysOpen(current)) {
                        budget.closed(current, now);
                        permit = null;
                    }
                });
            }
        }
    }

    @Test
    void budgetAcceptsNearlyAllRequestsWhereKeepingAllConnectionsDoesNot() {
        List<String> table = new ArrayList<>();
        double minBudgetShare = 1;
        double keepShareAtFive = 1;
        for (int times : new int[] {0, 1, 2, 5, 10}) {
            StringBuilder row = new StringBuilder();
            row.append(String.format(Locale.ROOT, "%2d times the turnover:", times));
            for (Strategy strategy : Strategy.values()) {
                Run run = new Run(strategy).simulate(times * 21, 10); // 42 connections of 2 s: 21 a second
                double share = (double) run.accepted / run.offered;
                row.append(String.format(
                        Locale.ROOT,
                        "  %s accepted %.3f, reused %.2f",
                        strategy,
                        share,
                        (double) run.reused / run.accepted));
                minBudgetShare = strategy == Strategy.BUDGET ? Math.min(minBudgetShare, share) : minBudgetShare;
                keepShareAtFive = strategy == Strategy.KEEP && times == 5 ? share : keepShareAtFive;
                if (strategy == Strategy.BUDGET && times == 0) {
                    assertTrue(run.reused > run.accepted * 0.98, "nothing is gained by closing: " + row);
                }
                if (strategy == Strategy.CLOSE) {
                    assertEquals(0, run.reused);
                }
            }
            table.add(row.toString());
        }
        table.forEach(System.out::println);
        assertTrue(minBudgetShare > 0.99, "the budget accepts nearly all: " + table);
        assertTrue(keepShareAtFive < 0.7, "keeping all connections does not: " + table);
    }
}
