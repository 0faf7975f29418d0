package loadbalancer.testbed.fleet;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import loadbalancer.proxy.Addresses;
import loadbalancer.proxy.Clock;

/**
 * One process of the program among several: started with a configuration file of its own and controlled by
 * signals, always by its process id. {@link #close} ends it, stalled or not. May be used from any thread; waits
 * throw IllegalStateException with the process's last log lines after a time limit.
 */
public final class BalancerMember implements AutoCloseable {
    private static final long TIMEOUT_SECONDS = 90; // for a process on a busy machine
    private static final Clock CLOCK = Clock.system();
    private static final int QUOTED_LINES = 8; // in messages

    private final Process process;
    private final Path file;
    private final List<String> lines = new ArrayList<>();
    private final List<Long> times = new ArrayList<>(); // when each was read

    private BalancerMember(Process process, Path file) {
        this.process = process;
        this.file = file;
        Thread reader = new Thread(this::read, "member-log");
        reader.setDaemon(true);
        reader.start();
    }

    /**
     * Starts a process; it may not listen yet.
     *
     * @param classPath what holds the program
     * @param toml its configuration; see {@link #rewrite}
     */
    public static BalancerMember start(String classPath, String toml) throws IOException {
        return start(classPath, toml, Map.of());
    }

    /** The same, with further variables in its environment. */
    public static BalancerMember start(String classPath, String toml, Map<String, String> environment)
            throws IOException {
        Path file = Files.createTempFile("member", ".toml");
        Files.writeString(file, toml);
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(List.of(
                "-XX:+UseSerialGC",
                "-Xms32m",
                "-Xmx32m",
                "-XX:MaxDirectMemorySize=16m",
                "-XX:TieredStopAtLevel=1",
                "-Xss256k",
                "-XX:+ExitOnOutOfMemoryError",
                "-cp",
                classPath,
                "loadbalancer.cli.Cli",
                "serve",
                "--config",
                file.toString()));
        ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true);
        builder.environment().putAll(environment);
        return new BalancerMember(builder.start(), file);
    }

    private void read() {
        try (BufferedReader in =
                new BufferedReader(new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8))) {
            for (String line = in.readLine(); line != null; line = in.readLine()) {
                addLine(line);
            }
        } catch (IOException e) {
            addLine("its log broke off: " + e.getMessage());
        }
    }

    private synchronized void addLine(String line) {
        lines.add(line);
        times.add(CLOCK.now());
        notifyAll();
    }

    /** The lines of its log so far. */
    public synchronized List<String> log() {
        return List.copyOf(lines);
    }

    /** The same with the time at which each line was read here, in µs since 1970. */
    public synchronized List<String> timedLog() {
        return IntStream.range(0, lines.size())
                .mapToObj(i -> times.get(i) + " " + lines.get(i))
                .toList();
    }

    /** Waits for a log line with these words, unless there is one already, and returns it. */
    public synchronized String line(String words) throws InterruptedException {
        return awaitLine(line -> line.contains(words), "no line with '" + words + "'");
    }

    private String awaitLine(Predicate<String> wanted, String complaint) throws InterruptedException {
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS);
        int seen = 0;
        while (true) {
            for (; seen < lines.size(); seen++) {
                if (wanted.test(lines.get(seen))) {
                    return lines.get(seen);
                }
            }
            long left = TimeUnit.NANOSECONDS.toMillis(until - System.nanoTime());
            if (left <= 0) {
                throw new IllegalStateException(complaint + ": " + lastLines());
            }
            wait(left);
        }
    }

    private String lastLines() {
        return String.join(" | ", lines.subList(Math.max(0, lines.size() - QUOTED_LINES), lines.size()));
    }

    /** Where clients connect, once it listens. */
    public InetSocketAddress address() throws InterruptedException {
        return at("event=listening address=");
    }

    /** Where operators call, once it listens. */
    public InetSocketAddress management() throws InterruptedException {
        return at("event=management_listening address=");
    }

    private InetSocketAddress at(String words) throws InterruptedException {
        String line = line(words);
        return Addresses.parse(
                line.substring(line.indexOf(words) + words.length()).strip());
    }

    /** Waits until it reports that it is ready. */
    public void awaitReady() throws InterruptedException {
        InetSocketAddress at = address();
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS);
        for (int status = 0; status != 200; ) {
            try (ClientSocket socket = new ClientSocket()) {
                status = socket.open(at) && socket.send("GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n")
                        ? socket.response().status()
                        : 0;
            }
            if (status != 200 && System.nanoTime() > until) {
                synchronized (this) {
                    throw new IllegalStateException("it does not get ready: " + lastLines());
                }
            }
            Thread.sleep(status == 200 ? 0 : 20);
        }
    }

    /** Processor time that it has used so far, in µs; 0 where it has ended. */
    public long cpuMicros() {
        return process.toHandle()
                .info()
                .totalCpuDuration()
                .map(d -> d.toNanos() / 1_000)
                .orElse(0L);
    }

    /** How many descriptors it has open (Linux). */
    public int openDescriptors() throws IOException {
        try (Stream<Path> descriptors = Files.list(Path.of("/proc", Long.toString(process.pid()), "fd"))) {
            return (int) descriptors.count();
        }
    }

    /** Lets it hold at most so many descriptors from here on; its connection budget stays as it is. */
    public void limitDescriptors(int max) throws IOException, InterruptedException {
        int code = new ProcessBuilder("prlimit", "--pid", Long.toString(process.pid()), "--nofile=" + max + ":")
                .start()
                .waitFor();
        if (code != 0) {
            throw new IOException("prlimit failed with exit code " + code);
        }
    }

    /** Replaces its file; it reads it at the next {@link Signal#HUP}. */
    public void rewrite(String toml) throws IOException {
        Files.writeString(file, toml);
    }

    /** The signals that a process can be sent. */
    public enum Signal {
        STOP,
        CONT,
        TERM,
        HUP,
        KILL
    }

    /** Sends the signal; a stalled process handles all but KILL and CONT only when it continues. */
    public void signal(Signal what) throws IOException, InterruptedException {
        int code = new ProcessBuilder("kill", "-" + what, Long.toString(process.pid()))
                .start()
                .waitFor();
        if (code != 0) {
            throw new IOException("no process to tell " + what + ": " + lastLines());
        }
    }

    /** Waits until a process that was sent {@link Signal#STOP} is no longer scheduled (Linux). */
    public void awaitStopped() throws IOException, InterruptedException {
        Path stat = Path.of("/proc", Long.toString(process.pid()), "stat");
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS);
        while (!stopped(Files.readString(stat))) {
            if (System.nanoTime() > until) {
                throw new IllegalStateException("it does not stand still: " + lastLines());
            }
            Thread.sleep(1);
        }
    }

    // proc(5): the state follows the name of the program, which is in parentheses.
    private static boolean stopped(String stat) {
        return stat.startsWith("T", stat.lastIndexOf(')') + 2);
    }

    /** Whether its process has not ended. */
    public boolean isAlive() {
        return process.isAlive();
    }

    /** Waits until it has ended, and returns its exit code. */
    public int await() throws InterruptedException {
        if (!process.waitFor(TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
            synchronized (this) {
                throw new IllegalStateException("it does not end: " + lastLines());
            }
        }
        return process.exitValue();
    }

    @Override
    public void close() {
        process.destroyForcibly(); // SIGKILL, which a stalled one handles as well
        try {
            process.waitFor(TIMEOUT_SECONDS, TimeUnit.SECONDS);
            Files.deleteIfExists(file);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (IOException e) {
            file.toFile().deleteOnExit();
        }
    }
}
