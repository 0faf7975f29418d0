package review2;

import java.io.BufferedWriter;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/** What all cases share: the record, the processes under test and their end, and the result. */
final class Kit implements AutoCloseable {
    // run.sh turns these into its exit codes: a JVM that can't start ends with 1.
    private static final int BROKEN = 11;
    private static final int HELD = 10;
    private static final int NOT_RUN = 12;

    private final Path root;
    private final Path temporary;
    private final BufferedWriter record;
    private final long startedAtNanos = System.nanoTime();
    private final List<Process> processes = new ArrayList<>();
    private boolean closed; // guarded by the list

    /** The case of a script. */
    interface Case {
        /** Runs the case; returns whether the rule was broken. */
        boolean isBroken(Kit kit, boolean trouble) throws Exception;
    }

    private Kit(Path root, Path folder) throws IOException {
        this.root = root;
        this.temporary = Path.of(System.getenv("REVIEW_SCRATCH"));
        this.record = Files.newBufferedWriter(folder.resolve("record.txt"));
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
    }

    /** Runs a case and ends this process with the result. */
    static void run(String[] arguments, Case test) {
        int result = NOT_RUN;
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Thread limit = new Thread(() -> {
            sleep(110_000);
            System.err.println("not run: over the time of a case");
            System.exit(NOT_RUN);
        });
        limit.setDaemon(true);
        limit.start();
        Thread orphan = new Thread(() -> {
            long script = Long.parseLong(System.getenv("REVIEW_SCRIPT"));
            // The script started timeout(1), which started this process; who is left behind gets another parent.
            while (ProcessHandle.current().parent().flatMap(ProcessHandle::parent).filter(p -> p.pid() == script).isPresent()) {
                sleep(200);
            }
            System.exit(NOT_RUN); // the script was killed
        });
        orphan.setDaemon(true);
        orphan.start();
        try (Kit kit = new Kit(Path.of(arguments[0]), Path.of(arguments[1]))) {
            kit.note("trouble=" + trouble);
            try {
                boolean broken = test.isBroken(kit, trouble);
                result = broken ? BROKEN : HELD;
                kit.note("result: " + (broken ? "the rule was BROKEN" : "the rule held"));
            } catch (Exception e) {
                kit.note("could not run: " + e);
                e.printStackTrace();
            }
        } catch (IOException e) {
            e.printStackTrace();
        }
        System.exit(result);
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(Math.max(0, millis));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** The time since the start of the case in ms. */
    double millis() {
        return (System.nanoTime() - startedAtNanos) / 1e6;
    }

    /** Writes a line of the record. */
    synchronized void note(String line) {
        try {
            String text = String.format(Locale.ROOT, "%10.1f ms  %s", millis(), line);
            record.write(text);
            record.newLine();
            record.flush();
            if (!line.startsWith("  ")) {
                System.out.println(text);
            }
        } catch (IOException e) {
            System.err.println("no record: " + e);
        }
    }

    /** Daemon thread; an exception is recorded. */
    Thread start(String name, Task task) {
        Thread thread = new Thread(() -> {
            try {
                task.run();
            } catch (Exception e) {
                note("  " + name + ": " + e);
            }
        });
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    /** May throw. */
    interface Task {
        void run() throws Exception;
    }

    static InetAddress loopback() throws IOException {
        return InetAddress.getByName("127.0.0.1");
    }

    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, loopback())) {
            return socket.getLocalPort();
        }
    }

    /** One balancer as the deploy file starts it. */
    final class Balancer {
        final InetSocketAddress address;
        final Path config;
        final Process process;
        final String name;
        private final String limits;

        private Balancer(String name, String discovery, String settings, String known, String limits)
                throws IOException {
            this.name = name;
            this.limits = limits;
            address = new InetSocketAddress(loopback(), freePort());
            Path folder = Files.createDirectory(temporary.resolve(name));
            config = temporary.resolve(name + ".json");
            configure(discovery, settings, known);
            String run = Files.readAllLines(root.resolve("deploy/balancer.toml")).stream()
                    .filter(line -> line.startsWith("run = \""))
                    .findFirst()
                    .orElseThrow()
                    .replaceFirst("run = \"", "")
                    .replaceFirst("\".*", "");
            // The shell notes its id, which is that of the program as well, before there is anything to be left behind.
            String noted = ": > \"$REVIEW_SCRATCH/process.$$\"; " + run;
            ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", noted).directory(root.toFile());
            builder.environment().keySet().removeIf(key -> key.startsWith("ROUTER_"));
            builder.environment().put("TMPDIR", folder.toString());
            builder.environment().put("ROUTER_NAME", name);
            builder.environment().put("ROUTER_LISTEN", text(address));
            builder.environment().put("ROUTER_DISCOVERY", discovery);
            builder.environment().put("ROUTER_CONFIG", config.toString());
            if ("1".equals(System.getenv("BALANCER_LOG"))) {
                builder.environment().put("ROUTER_REQUEST_LOG", "on");
            }
            synchronized (processes) {
                if (closed) {
                    throw new IOException("the case is being ended");
                }
                process = builder.redirectErrorStream(true).start();
                processes.add(process);
            }
            Kit.this.start(name + " log", () -> process.inputReader().lines().forEach(line -> note("  " + name + " log: " + line)));
        }

        void configure(String discovery, String settings, String known) throws IOException {
            Path fresh = temporary.resolve(name + ".new");
            Files.writeString(
                    fresh,
                    "{\"name\":\"" + name + "\",\"listen\":\"" + text(address) + "\",\"discovery\":\"" + discovery
                            + "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":" + limits + ",\"known\":" + known
                            + ",\"settings\":" + settings + "}");
            Files.move(fresh, config, java.nio.file.StandardCopyOption.REPLACE_EXISTING);
        }

        /** Waits until it says that it is ready. */
        void awaitReady() throws Exception {
            long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(30);
            while (System.nanoTime() < until && process.isAlive()) {
                try (Client client = new Client(address)) {
                    if (client.exchange("GET /-/ready HTTP/1.1\r\nHost: backend.local\r\n\r\n", 1_000).status == 200) {
                        note(name + " is ready at " + text(address));
                        return;
                    }
                } catch (IOException e) {
                    sleep(20);
                }
                sleep(20);
            }
            throw new IOException(name + " did not become ready");
        }

        /** Sends SIGTERM to the process, if it still runs. */
        void terminate() {
            note("SIGTERM to " + name);
            process.toHandle().destroy();
        }
    }

    static String text(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    Balancer balancer(String name, Discovery discovery, String settings) throws IOException {
        return balancer(name, discovery, settings, 1_024);
    }

    Balancer balancer(String name, Discovery discovery, String settings, int descriptors) throws IOException {
        String limits = "{\"cores\":1.0,\"memory_mb\":192,\"sockets\":" + descriptors + "}";
        return new Balancer(name, discovery.address(), settings, discovery.list(), limits);
    }

    @Override
    public void close() {
        synchronized (processes) {
            closed = true;
            for (Process process : processes) {
                process.descendants().forEach(ProcessHandle::destroyForcibly);
                process.destroyForcibly();
                try {
                    process.waitFor(5, TimeUnit.SECONDS);
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            }
            processes.clear();
        }
        try (Stream<Path> files = Files.exists(temporary) ? Files.walk(temporary) : Stream.empty()) {
            files.sorted(Comparator.reverseOrder()).forEach(path -> path.toFile().delete());
        } catch (IOException | RuntimeException e) {
            temporary.toFile().deleteOnExit();
        }
    }
}
