package loadbalancer.config.toml;

import java.net.InetSocketAddress;
import java.util.SplittableRandom;

/** Reads the table {@code node}: this balancer itself. */
final class NodeTable {
    private static final String DEFAULT_NAME = "honeyspindle";
    private static final String DEFAULT_LISTEN = "127.0.0.1:8080";
    private static final long MAX_DRAWN_SEED = 1L << 50;
    private static final int MAX_BALANCERS = 10_000;

    private NodeTable() {}

    /**
     * The table's values; {@code management} is null where there is no admin endpoint, {@code rank} is this balancer's
     * number among {@code balancers}.
     */
    record Node(
            String name,
            InetSocketAddress listen,
            InetSocketAddress management,
            long seed,
            int balancers,
            int rank,
            String zone) {}

    static Node read(Table table) {
        long drawnSeed = new SplittableRandom().nextLong(1, MAX_DRAWN_SEED);
        return new Node(
                table.text("name", DEFAULT_NAME),
                ConfigFile.address(table, "listen", table.text("listen", DEFAULT_LISTEN)),
                table.has("management")
                        ? ConfigFile.address(table, "management", table.text("management", null))
                        : null,
                (long) table.number("seed", drawnSeed, 0, 1e15),
                (int) table.number("balancers", 1, 1, MAX_BALANCERS),
                (int) table.number("rank", 0, 0, MAX_BALANCERS - 1),
                table.name("zone", MembershipTable.DEFAULT_ZONE));
    }
}
