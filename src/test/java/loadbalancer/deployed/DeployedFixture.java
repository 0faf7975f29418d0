package loadbalancer.deployed;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;
import org.junit.jupiter.api.AfterEach;

/** A balancer process as it is deployed, before stand-in upstreams, and what a test has opened. */
abstract class DeployedFixture {
    /** The least memory that the operators' pages name: half of 192 MB, in a crowd. */
    static final int LEAST_MEMORY_MEGABYTES = 96;
    /** A later answer is lost; an earlier one that misses the deadline only earns nothing. */
    static final int LATE_ANSWER_MILLIS = 500;

    static final int UNSAFE_DEADLINE_MILLIS = 2_500;
    static final int UNSAFE_OBJECTIVE_MILLIS = 600;
    static final int KEYED_DEADLINE_MILLIS = 500;
    static final int MAX_DESCRIPTORS = 1_024;

    private final List<AutoCloseable> opened = new ArrayList<>();
    final DiscoveryService discovery = open(new DiscoveryService());
    int deadlineMillis = UNSAFE_DEADLINE_MILLIS; // of the classes without a key
    boolean mayDuplicate = true; // whether a safe request may be tried at two servers at once
    int descriptors = MAX_DESCRIPTORS;
    int keyedObjectiveMillis = 250;
    int keyedDeadlineMillis = KEYED_DEADLINE_MILLIS;
    int keyTtlMillis = 1_000; // for which upstreams drop repeats
    int connectMillis = 500; // that a connection to an upstream may take
    DeployedBalancer balancer;

    DeployedFixture() throws IOException {}

    final <T extends AutoCloseable> T open(T resource) {
        opened.add(resource);
        return resource;
    }

    @AfterEach
    void closeAll() throws Exception {
        for (int i = opened.size() - 1; i >= 0; i--) {
            opened.get(i).close();
        }
    }

    /** Starts a balancer before those upstreams, each in a cell of its own. */
    final void start(RawUpstream... upstreams) throws IOException, InterruptedException {
        for (int i = 0; i < upstreams.length; i++) {
            discovery.set("s" + i, upstreams[i].target("s" + i, i, "in_service"));
        }
        balancer = open(DeployedBalancer.start(
                new DeployedBalancer.Limits(LEAST_MEMORY_MEGABYTES, descriptors),
                discovery.address(),
                settings(),
                discovery.list()));
    }

    private String settings() {
        String classes = List.of(
                        requestClass(
                                "book", "unsafe", Math.min(UNSAFE_OBJECTIVE_MILLIS, deadlineMillis), deadlineMillis),
                        requestClass("pay", "keyed", keyedObjectiveMillis, keyedDeadlineMillis),
                        requestClass("read", "safe", Math.min(600, deadlineMillis), deadlineMillis))
                .stream()
                .collect(Collectors.joining(","));
        return "{\"Areas\":[\"podrum\"],\"Balancers\":1,\"Rank\":0,\"Locality\":0,\"Classes\":[" + classes
                + "],\"Kinds\":[\"puni\"],\"Limits\":{\"Cancel\":true,\"DialTimeout\":" + connectMillis * 1_000
                + ",\"IdleClose\":30000000,"
                + "\"MayDuplicate\":" + mayDuplicate
                + ",\"Probes\":true,\"TryLimit\":3},\"MembershipMode\":\"ask\",\"Quantum\":2000,"
                + "\"Rules\":{\"AnswerSlack\":8000,\"AskWithin\":10000000,\"ColdFrom\":0.3,\"DrainGrace\":1000000,"
                + "\"Fall\":1000000,\"OverloadFactor\":3.0,\"RampTime\":8400000},"
                + "\"Stats\":{\"How\":\"answers\",\"Fields\":[\"outstanding\"]}}";
    }

    private String requestClass(String name, String effect, int objectiveMillis, int deadlineMillis) {
        return "{\"Name\":\"" + name + "\",\"Idempotency\":\"" + effect + "\",\"DedupScope\":\"cell\","
                + "\"KeyTtl\":" + keyTtlMillis * 1_000 + ",\"GoalTime\":" + objectiveMillis * 1_000 + ",\"GiveUp\":"
                + deadlineMillis * 1_000
                + ",\"Gain\":3.0,\"LateShare\":0.2}";
    }

    /** The head of an unsafe request, up to its last line. */
    static String bookHead(String id, int deadlineMillis) {
        return "POST /api/k1 HTTP/1.1\r\nHost: b\r\nReq-Id: " + id + "\r\nReq-Kind: book\r\nReq-Deadline-Ms: "
                + deadlineMillis + "\r\n";
    }

    /** A short unsafe request. */
    static String book(String id, int deadlineMillis) {
        return bookHead(id, deadlineMillis) + "Content-Length: 2\r\n\r\nok";
    }
}
