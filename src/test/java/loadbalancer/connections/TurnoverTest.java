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
 * Requests let in against the turnover that the limit allows, simulated: for keeping every connection, for
 * ending every one at its answer, and for the budget. Part of the clients ask once and keep their connection
 * for 2 s unused, and part ask again and again, 0.1 s apart.
 */
class TurnoverTest {
    private static final long MS = 1_000_000;
    private static final long SECONDS = 20;
    private static final int LIMIT = 128; // descriptors: 64 in all, 52 for clients

    enum Way {
        KEEP,
        CLOSE,
        BUDGET
    }

    private record Event(long at, Runnable what) {}

    /** What became of the requests. */
    private static final class Run {
        final Way way;
        final PriorityQueue<Event> events = new PriorityQueue<>((a, b) -> Long.compare(a.at(), b.at()));
        final SplittableRandom random = new SplittableRandom(11);
        final ConnectionBudget budget = new ConnectionBudget(ConnectionLimits.of(LIMIT), 0);
        long now;
        int offered;
        int letIn;
        int reused;

        Run(Way way) {
            this.way = way;
        }

        void at(long when, Runnable what) {
            events.add(new Event(when, what));
        }

        Run play(int onceASecond, int regulars) {
            for (int i = 0; i < regulars; i++) {
                Regular regular = new Regular("r" + i);
                at((long) (random.nextDouble() * 100 * MS), regular::ask);
            }
            if (onceASecond > 0) {
                at(0, () -> once(onceASecond));
            }
            at(0, this::look);
            while (!events.isEmpty() && events.peek().at() < SECONDS * 1_000 * MS) {
                Event next = events.poll();
                now = next.at();
                next.what().run();
            }
            return this;
        }

        private void look() {
            if (way == Way.BUDGET) {
                budget.closeExpired(now);
            }
            at(now + 200 * MS, this::look);
        }

        private boolean admit() {
            return way == Way.BUDGET
                    ? budget.evictToAdmit(Direction.CLIENT, now)
                    : budget.admits(Direction.CLIENT, now);
        }

        private boolean stays(ConnectionPermit lease) {
            return budget.responseSent(lease, way != Way.CLOSE, false, now);
        }

        // More of its client's is said to be there, so that it stays whatever the budget makes of it.
        private void keep(ConnectionPermit lease) {
            budget.responseSent(lease, true, true, now);
        }

        private void once(int rate) {
            at(now + (long) (-Math.log(1 - random.nextDouble()) * 1_000 * MS / rate), () -> once(rate));
            offered++;
            if (!admit()) {
                return;
            }
            letIn++;
            ConnectionPermit lease = budget.openClient("once" + offered, 1, () -> {}, now);
            budget.requestReceived(lease, now);
            at(now + 10 * MS, () -> {
                if (way == Way.KEEP) {
                    keep(lease);
                    at(now + 2_000 * MS, () -> budget.closed(lease, now));
                } else if (stays(lease)) {
                    at(now + 2_000 * MS, () -> budget.closed(lease, now));
                } else {
                    budget.closed(lease, now);
                }
            });
        }

        /** A client that asks every 0.1 s, on the connection that it has. */
        private final class Regular {
            private final String address;
            private ConnectionPermit lease;

            Regular(String address) {
                this.address = address;
            }

            void ask() {
                at(now + 100 * MS, this::ask);
                offered++;
                boolean kept = lease != null && (way == Way.KEEP || lease.isIdle());
                if (!kept && !admit()) {
                    return;
                }
                letIn++;
                reused += kept ? 1 : 0;
                if (!kept) {
                    lease = budget.openClient(address, 1, () -> {}, now);
                }
                ConnectionPermit mine = lease;
                budget.requestReceived(mine, now);
                at(now + 10 * MS, () -> {
                    if (way == Way.KEEP) {
                        keep(mine);
                    } else if (!stays(mine)) {
                        budget.closed(mine, now);
                        lease = null;
                    }
                });
            }
        }
    }

    @Test
    void requestsLetInAgainstTurnover() {
        List<String> table = new ArrayList<>();
        double worst = 1;
        double keepAtFive = 1;
        for (int times : new int[] {0, 1, 2, 5, 10}) {
            StringBuilder row = new StringBuilder();
            row.append(String.format(Locale.ROOT, "%2d times the turnover:", times));
            for (Way way : Way.values()) {
                Run run = new Run(way).play(times * 21, 10); // 42 connections of 2 s: 21 a second
                double share = (double) run.letIn / run.offered;
                row.append(String.format(
                        Locale.ROOT, "  %s let in %.3f, reused %.2f", way, share, (double) run.reused / run.letIn));
                worst = way == Way.BUDGET ? Math.min(worst, share) : worst;
                keepAtFive = way == Way.KEEP && times == 5 ? share : keepAtFive;
                if (way == Way.BUDGET && times == 0) {
                    assertTrue(run.reused > run.letIn * 0.98, "nothing is gained by ending: " + row);
                }
                if (way == Way.CLOSE) {
                    assertEquals(0, run.reused);
                }
            }
            table.add(row.toString());
        }
        table.forEach(System.out::println);
        assertTrue(worst > 0.99, "the budget lets all in: " + table);
        assertTrue(keepAtFive < 0.7, "where keeping does not: " + table);
    }
}
