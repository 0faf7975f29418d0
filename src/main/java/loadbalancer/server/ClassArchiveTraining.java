package loadbalancer.server;

import com.fasterxml.jackson.jr.ob.JSON;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import loadbalancer.config.Config;
import loadbalancer.policy.JsqDasPolicy;

/**
 * Starts a balancer, lets it rehearse and ends it: the build does so once, for the JVM to archive the classes
 * that a start loads. Guards against slow restarts: half of the time until it listened went into those.
 */
public final class ClassArchiveTraining {
    private static final String CONFIG = """
        {"name": "dry", "listen": "127.0.0.1:0", "management": "127.0.0.1:0",
         "discovery": "127.0.0.1:9", "seed": "1", "settings": {
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

    // What only an upgrade needs: there is no descriptor to inherit here.
    private static final List<String> UPGRADE = List.of(
            "loadbalancer.lifecycle.HotRestartChannel",
            "loadbalancer.lifecycle.HotRestart",
            "loadbalancer.lifecycle.HotRestart$Step",
            "io.netty.channel.socket.nio.NioDomainSocketChannel",
            "io.netty.channel.socket.nio.NioServerDomainSocketChannel",
            "io.netty.handler.codec.LineBasedFrameDecoder",
            "io.netty.handler.codec.string.StringDecoder",
            "io.netty.handler.codec.string.StringEncoder",
            "java.net.UnixDomainSocketAddress",
            "sun.nio.ch.InheritedChannel",
            "sun.nio.ch.UnixDomainSockets",
            "sun.nio.ch.InheritedChannel$InheritedServerSocketChannelImpl");

    private ClassArchiveTraining() {}

    private static void call(InetSocketAddress door) throws IOException {
        try (Socket caller = new Socket(door.getAddress(), door.getPort())) {
            caller.getOutputStream()
                    .write("GET /api/ready HTTP/1.1\r\nHost: x\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
            caller.getInputStream().readAllBytes();
        }
    }

    public static void main(String[] args) throws Exception {
        ReloadSignal.onEach(() -> {});
        LoadBalancerServer node = new LoadBalancerServer(
                Config.of(Map.of(), JSON.std.mapFrom(CONFIG)), JsqDasPolicy::new, true, line -> {});
        node.start();
        boolean ready = node.awaitReady(TimeUnit.SECONDS.toMillis(30));
        call(node.door());
        for (String name : UPGRADE) {
            Class.forName(name);
        }
        node.stop();
        System.exit(ready ? 0 : 1);
    }
}
