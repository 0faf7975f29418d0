package loadbalancer.testbed;

import com.fasterxml.jackson.jr.ob.JSON;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.HttpURLConnection;
import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import loadbalancer.proxy.Addresses;

/** The real balancer as a process of its own, told of a scenario as the platform would tell it. */
final class BalancerProcess implements TestedBalancer {
    private static final List<String> FLAGS = List.of(
            "-XX:+UseSerialGC",
            "-Xms40m",
            "-Xmx40m",
            "-XX:MaxDirectMemorySize=16m",
            "-XX:MaxMetaspaceSize=48m",
            "-XX:ReservedCodeCacheSize=16m",
            "-XX:TieredStopAtLevel=1",
            "-XX:Tier3InvocationThreshold=100",
            "-XX:Tier3MinInvocationThreshold=50",
            "-XX:Tier3CompileThreshold=600",
            "-Xss256k",
            "-XX:-UsePerfData",
            "-XX:+ExitOnOutOfMemoryError",
            "-Dio.netty.allocator.type=unpooled",
            "-Dio.netty.leakDetection.level=disabled");

    private final Process process;
    private final Path folder;
    private final List<String> lines = new ArrayList<>();
    private final Thread reader;
    private final CountDownLatch listening = new CountDownLatch(1);
    private volatile InetSocketAddress address;
    private volatile InetSocketAddress http3;

    /**
     * Starts it and waits until it is ready.
     *
     * @param classPath what holds the balancer
     * @throws IOException with its last lines, where it doesn't come up within {@code seconds}
     */
    static BalancerProcess start(
            String classPath, Scenario scenario, String known, InetSocketAddress discovery, long seconds)
            throws IOException, InterruptedException {
        Path folder = Files.createTempDirectory("loadbalancer-testbed");
        BalancerProcess started = null;
        try {
            Path config = folder.resolve("config.json");
            Files.writeString(config, JSON.std.asString(config(scenario, known)));
            List<String> command = new ArrayList<>();
            command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
            command.addAll(FLAGS);
            Path archive = Path.of(classPath.replaceAll("\\.jar$", ".jsa"));
            if (classPath.endsWith(".jar") && Files.exists(archive)) {
                command.add(1, "-XX:SharedArchiveFile=" + archive);
                command.add(2, "-Xshare:auto");
            }
            command.addAll(List.of("-cp", classPath, "loadbalancer.Main", "serve"));
            ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true);
            builder.environment()
                    .putAll(Map.of(
                            "ROUTER_NAME",
                            "rig",
                            "ROUTER_LISTEN",
                            "127.0.0.1:0",
                            "ROUTER_DISCOVERY",
                            Addresses.text(discovery),
                            "ROUTER_CONFIG",
                            config.toString()));
            started = new BalancerProcess(builder.start(), folder);
            started.awaitReady(seconds);
            return started;
        } catch (IOException | InterruptedException | RuntimeException e) {
            if (started == null) {
                delete(folder);
            } else {
                started.close();
            }
            throw e;
        }
    }

    /**
     * The same, told by the one configuration file, and with HTTP/3 on both sides.
     *
     * @param classPath what holds the tools as well
     * @param identity a certificate and its key in PEM, for the balancer and its boxes
     */
    static BalancerProcess http3(
            String classPath, Scenario scenario, InetSocketAddress discovery, String[] identity, long seconds)
            throws IOException, InterruptedException {
        Path folder = Files.createTempDirectory("loadbalancer-testbed");
        Files.writeString(folder.resolve("cert.pem"), identity[0]);
        Files.writeString(folder.resolve("key.pem"), identity[1]);
        Path config = folder.resolve("config.json");
        Files.writeString(config, BalancerToml.http3(scenario, discovery));
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(FLAGS);
        command.addAll(List.of("-cp", classPath, "loadbalancer.cli.Cli", "serve", "--config", config.toString()));
        return ready(
                new BalancerProcess(
                        new ProcessBuilder(command).redirectErrorStream(true).start(), folder),
                seconds);
    }

    private static BalancerProcess ready(BalancerProcess started, long seconds)
            throws IOException, InterruptedException {
        try {
            started.awaitReady(seconds);
            return started;
        } catch (IOException | InterruptedException | RuntimeException e) {
            started.close();
            throw e;
        }
    }

    /** A bare pass-through to these addresses, under the same options. */
    static BalancerProcess bare(String classPath, List<InetSocketAddress> boxes, long seconds)
            throws IOException, InterruptedException {
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(FLAGS);
        command.addAll(List.of("-cp", classPath, PassThrough.class.getName()));
        boxes.forEach(b -> command.add(Addresses.text(b)));
        return ready(
                new BalancerProcess(
                        new ProcessBuilder(command).redirectErrorStream(true).start(),
                        Files.createTempDirectory("loadbalancer-testbed")),
                seconds);
    }

    private BalancerProcess(Process process, Path folder) {
        this.process = process;
        this.folder = folder;
        reader = new Thread(this::read, "balancer-log");
        reader.setDaemon(true);
        reader.start();
    }

    private void read() {
        try (BufferedReader in =
                new BufferedReader(new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8))) {
            for (String line = in.readLine(); line != null; line = in.readLine()) {
                synchronized (lines) {
                    lines.add(line);
                }
                int beside = line.indexOf("http3 on ");
                if (beside >= 0) {
                    http3 = Addresses.parse(
                            line.substring(beside + "http3 on ".length()).strip());
                }
                int at = line.indexOf("listening on ");
                if (at >= 0) {
                    address = Addresses.parse(
                            line.substring(at + "listening on ".length()).strip());
                    listening.countDown();
                }
            }
        } catch (IOException e) {
            synchronized (lines) {
                lines.add("its log broke off: " + e.getMessage());
            }
        } finally {
            listening.countDown();
        }
    }

    private void awaitReady(long seconds) throws IOException, InterruptedException {
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
        boolean told = listening.await(seconds, TimeUnit.SECONDS);
        while (told && address != null && System.nanoTime() < until && process.isAlive()) {
            HttpURLConnection ask = (HttpURLConnection) URI.create("http://" + Addresses.text(address) + "/-/ready")
                    .toURL()
                    .openConnection();
            ask.setConnectTimeout(1_000);
            ask.setReadTimeout(1_000);
            try {
                if (ask.getResponseCode() == 200) {
                    return;
                }
            } catch (IOException e) {
                TimeUnit.MILLISECONDS.sleep(20); // it takes in few strangers while it rehearses
            } finally {
                ask.disconnect();
            }
            TimeUnit.MILLISECONDS.sleep(50);
        }
        throw new IOException("the balancer did not become ready: " + lastLines());
    }

    @Override
    public InetSocketAddress address() {
        return address;
    }

    @Override
    public InetSocketAddress http3() {
        return http3;
    }

    @Override
    public long memoryKib() {
        try {
            for (String line : Files.readAllLines(Path.of("/proc/" + process.pid() + "/status"))) {
                if (line.startsWith("VmHWM:")) {
                    return Long.parseLong(line.replaceAll("[^0-9]", ""));
                }
            }
        } catch (IOException e) {
            return 0; // another kind of system, or it has ended
        }
        return 0;
    }

    @Override
    public boolean isAlive() {
        return process.isAlive();
    }

    @Override
    public long cpuMicros() {
        return process.info().totalCpuDuration().map(d -> d.toNanos() / 1000).orElse(0L);
    }

    @Override
    public List<String> log() {
        synchronized (lines) {
            return List.copyOf(lines);
        }
    }

    private String lastLines() {
        List<String> all = log();
        return String.join(" | ", all.subList(Math.max(0, all.size() - 5), all.size()));
    }

    /** By SIGTERM. */
    @Override
    public int stop() throws InterruptedException {
        process.toHandle().destroy(); // Process.destroy would close the stream of its log
        if (process.waitFor(10, TimeUnit.SECONDS)) {
            reader.join(2_000); // its last lines
            return process.exitValue();
        }
        process.destroyForcibly();
        return -1;
    }

    @Override
    public void close() {
        process.destroyForcibly();
        delete(folder);
    }

    private static void delete(Path folder) {
        try {
            for (String file : List.of("config.json", "cert.pem", "key.pem")) {
                Files.deleteIfExists(folder.resolve(file));
            }
            Files.deleteIfExists(folder);
        } catch (IOException e) {
            folder.toFile().deleteOnExit();
        }
    }

    /** The configuration that stands for a scenario. */
    static Map<String, Object> config(Scenario scenario, String known) throws IOException {
        Map<String, Object> settings = new LinkedHashMap<>();
        settings.put("Balancers", 1);
        settings.put("MembershipMode", "ask");
        settings.put("Quantum", 2_000);
        settings.put(
                "Areas",
                new ArrayList<>(new TreeSet<>(
                        scenario.boxes().stream().map(Scenario.Boxes::zone).toList())));
        settings.put(
                "Kinds",
                scenario.boxes().stream().map(Scenario.Boxes::model).distinct().toList());
        List<Map<String, Object>> classes = new ArrayList<>();
        for (Scenario.Kind kind : scenario.kinds()) {
            Map<String, Object> c = new LinkedHashMap<>();
            c.put("Name", kind.name());
            c.put("Idempotency", kind.effect().name().toLowerCase(java.util.Locale.ROOT));
            c.put("DedupScope", "cell");
            c.put("KeyTtl", kind.window());
            c.put("GoalTime", kind.aim());
            c.put("GiveUp", kind.deadline());
            c.put("Gain", kind.worth());
            c.put("LateShare", kind.lateShare());
            classes.add(c);
        }
        settings.put("Classes", classes);
        settings.put(
                "Limits",
                Map.of(
                        "TryLimit",
                        3,
                        "MayDuplicate",
                        true,
                        "Cancel",
                        true,
                        "Probes",
                        true,
                        "DialTimeout",
                        500_000,
                        "IdleClose",
                        30_000_000,
                        "RetryAfter",
                        true,
                        "MaxRetryAfter",
                        2_000_000));
        settings.put(
                "Rules",
                Map.of(
                        "AnswerSlack",
                        8_000,
                        "DrainGrace",
                        Demo.GRACE,
                        "AskWithin",
                        10_000_000,
                        "ColdFrom",
                        scenario.cold().from(),
                        "RampTime",
                        scenario.cold().ramp(),
                        "OverloadFactor",
                        scenario.cold().overload(),
                        "Fall",
                        scenario.cold().fall()));
        settings.put("Stats", Map.of("How", "answers", "Fields", List.of("outstanding")));
        settings.put("WorthBy", "work");
        return Map.of(
                "seed",
                Long.toHexString(scenario.seed()),
                "limits",
                Map.of("sockets", 1024),
                "settings",
                settings,
                "known",
                JSON.std.mapFrom(known));
    }
}
