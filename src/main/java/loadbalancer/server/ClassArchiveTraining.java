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
 * Starts a balancer, lets it warm up and ends it. The build runs this once, for the JVM to archive the classes that a
 * start loads (class data sharing): loading them took half of the time until a process listened.
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

    /** What only a hot restart loads: this start has no descriptor to inherit. */
    private static final List<String> HOT_RESTART_CLASSES = List.of(
            "loadbalancer.server.HotRestartCoordinator$1",
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

    private static final long READY_TIMEOUT_MILLIS = TimeUnit.SECONDS.toMillis(30);

    private ClassArchiveTraining() {}

    private static void askReadiness(InetSocketAddress managementAddress) throws IOException {
        try (Socket caller = new Socket(managementAddress.getAddress(), managementAddress.getPort())) {
            caller.getOutputStream()
                    .write("GET /api/ready HTTP/1.1\r\nHost: x\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
            caller.getInputStream().readAllBytes();
        }
    }

    /** Ends the JVM with 0 if the balancer became ready, else with 1. */
    public static void main(String[] args) throws Exception {
        ReloadSignal.onEach(() -> {});
        LoadBalancerServer server = new LoadBalancerServer(
                Config.of(Map.of(), JSON.std.mapFrom(CONFIG)), JsqDasPolicy::new, true, line -> {});
        server.start();
        boolean ready = server.awaitReady(READY_TIMEOUT_MILLIS);
        askReadiness(server.managementAddress());
        for (String name : HOT_RESTART_CLASSES) {
            Class.forName(name);
        }
        server.stop();
        System.exit(ready ? 0 : 1);
    }
}
