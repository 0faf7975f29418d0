package junctionhead.node;

import com.fasterxml.jackson.jr.ob.JSON;
import java.io.IOException;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import junctionhead.Balance;
import junctionhead.config.Config;

/**
 * Starts a balancer, lets it rehearse and ends it: the build does so once, for the JVM to archive the classes
 * that a start loads. Guards against slow restarts: half of the time until it listened went into those.
 */
public final class DryRun {
    private static final String CONFIG = """
        {"name": "dry", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:9", "seed": "1", "settings": {
          "Balancers": 1, "Quantum": 5000, "MembershipMode": "ask",
          "Classes": [
            {"Name": "a", "Idempotency": "safe", "GoalTime": 600000, "GiveUp": 1200000},
            {"Name": "b", "Idempotency": "keyed", "GoalTime": 600000, "GiveUp": 1200000, "KeyTtl": 1000000},
            {"Name": "c", "Idempotency": "unsafe", "GoalTime": 600000, "GiveUp": 1200000}],
          "Limits": {"TryLimit": 3, "MayDuplicate": true, "Cancel": true, "Probes": true},
          "Rules": {"AnswerSlack": 20000, "DrainGrace": 1000000, "AskWithin": 10000000, "ColdFrom": 0.2,
            "RampTime": 20000000, "OverloadFactor": 2.5, "Fall": 1500000}},
         "known": {"rev": 0, "all": true, "targets": [{"uid": "s", "endpoint": "127.0.0.1:9",
            "state": "in_service"}]}}
        """;

    private DryRun() { }

    public static void main(String[] args) throws IOException, InterruptedException {
        Hangup.onEach(() -> { });
        Node node = new Node(Config.of(Map.of(), JSON.std.mapFrom(CONFIG)), Balance::new, true, line -> { });
        node.start();
        boolean ready = node.awaitReady(TimeUnit.SECONDS.toMillis(30));
        node.stop();
        System.exit(ready ? 0 : 1);
    }
}
