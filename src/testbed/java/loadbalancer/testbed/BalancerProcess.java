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
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import loadbalancer.proxy.Addresses;

/** The real balancer as a process of its own, configured for a scenario as the platform would do it. */
final class BalancerProcess implements TestedBalancer {
    private static final List<String> FLAGS = List.of(
            "-XX:+UseSerialGC",
            "-Xms32m",
            "-Xmx32m",
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
            Files.writeString(config, JSON.std.asString(BalancerJson.of(scenario, known)));
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
     * @param identity a certificate and its key in PEM, for the balancer and its servers
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
    static BalancerProcess bare(String classPath, List<InetSocketAddress> servers, long seconds)
            throws IOException, InterruptedException {
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(FLAGS);
        command.addAll(List.of("-cp", classPath, PassThrough.class.getName()));
        servers.forEach(b -> command.add(Addresses.text(b)));
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
                int beside = line.indexOf("event=http3_listening address=");
                if (beside >= 0) {
                    http3 = Addresses.parse(line.substring(beside + "event=http3_listening address=".length())
                            .strip());
                }
                int at = line.indexOf("event=listening address=");
                if (at >= 0) {
                    address = Addresses.parse(line.substring(at + "event=listening address=".length())
                            .strip());
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
        boolean listeningInTime = listening.await(seconds, TimeUnit.SECONDS);
        while (listeningInTime && address != null && System.nanoTime() < until && process.isAlive()) {
            HttpURLConnection connection =
                    (HttpURLConnection) URI.create("http://" + Addresses.text(address) + "/-/ready")
                            .toURL()
                            .openConnection();
            connection.setConnectTimeout(1_000);
            connection.setReadTimeout(1_000);
            try {
                if (connection.getResponseCode() == 200) {
                    return;
                }
            } catch (IOException e) {
                TimeUnit.MILLISECONDS.sleep(20); // during its warm-up it accepts few connections
            } finally {
                connection.disconnect();
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
}
