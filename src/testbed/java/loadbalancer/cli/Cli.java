package loadbalancer.cli;

import java.io.File;
import java.io.IOException;
import java.io.InputStream;
import java.net.URISyntaxException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.function.Supplier;
import loadbalancer.Main;
import loadbalancer.config.Config;
import loadbalancer.config.toml.ConfigFile;
import loadbalancer.config.toml.Problems;
import loadbalancer.server.LoadBalancerServer;
import loadbalancer.server.http3.Http3ServerExtension;
import loadbalancer.testbed.Benchmark;
import loadbalancer.testbed.Demo;
import loadbalancer.testbed.Http3Run;
import picocli.AutoComplete;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** The command line of the whole product; the archive that is deployed has {@code serve} and {@code wirehost} only. */
@Command(
        name = "loadbalancer",
        mixinStandardHelpOptions = true,
        version = "loadbalancer 0.1.0",
        description = "A balancer for HTTP services that loses nothing, does nothing twice and keeps drains.",
        synopsisSubcommandLabel = "COMMAND",
        subcommands = {
            Cli.DemoCommand.class,
            Cli.BenchCommand.class,
            PausedProcessesCommand.class,
            FleetCommand.class,
            SoakCommand.class,
            Cli.Check.class,
            Cli.Defaults.class,
            Cli.Serve.class,
            AdminCommands.Ready.class,
            AdminCommands.Evacuate.class,
            AdminCommands.Rejoin.class,
            Cli.Wirehost.class,
            AutoComplete.GenerateCompletion.class
        },
        exitCodeListHeading = "%nExit codes:%n",
        exitCodeList = {
            "0:all went well",
            "1:it failed, as told",
            "2:the command line can't be used",
            "130:ended by SIGINT"
        })
public final class Cli implements Callable<Integer> {
    @Override
    public Integer call() {
        CommandLine.usage(this, System.err);
        return CommandLine.ExitCode.USAGE;
    }

    /** Runs a command and ends the process with its exit code. */
    public static void main(String[] args) {
        System.exit(run(args));
    }

    /** Runs a command and returns its exit code; an exception is reported by one line. */
    static int run(String... args) {
        return new CommandLine(new Cli())
                .setExecutionExceptionHandler((e, command, parsed) -> {
                    command.getErr().println("loadbalancer: " + e.getMessage());
                    return 1;
                })
                .execute(args);
    }

    /** Where the balancer's classes are: in the archive next to this one, or on the class path as it is. */
    static String served() {
        try {
            Path own = Path.of(Cli.class
                    .getProtectionDomain()
                    .getCodeSource()
                    .getLocation()
                    .toURI());
            Path beside = own.resolveSibling("loadbalancer.jar");
            if (Files.isRegularFile(own) && Files.isRegularFile(beside)) {
                return beside.toString();
            }
        } catch (URISyntaxException e) {
            return System.getProperty("java.class.path");
        }
        return System.getProperty("java.class.path");
    }

    /** Servers, discovery, a balancer and load on this machine. */
    @Command(
            name = "demo",
            mixinStandardHelpOptions = true,
            description =
                    "Starts stand-in boxes, a discovery, a balancer and load on this machine, lets faults happen, and "
                            + "ends with the tally.",
            exitCodeListHeading = "%nExit codes:%n",
            exitCodeList = {
                "0:every order was taken and answered, none booked twice, drains kept, no cold box fell",
                "1:one of these failed: its order and history are named",
                "2:the command line can't be used",
                "130:ended by SIGINT, after the tally"
            })
    static final class DemoCommand implements Callable<Integer> {
        @Option(names = "--seconds", paramLabel = "N", description = "how long the load lasts")
        private long seconds;

        @Option(names = "--rate", paramLabel = "N", description = "requests a second")
        private double rate;

        @Option(names = "--scenario", paramLabel = "FILE", description = "another scenario (docs/rig.md)")
        private File scenario;

        @Option(
                names = "--http3",
                paramLabel = "N",
                description = "half of the orders over so many HTTP/3 " + "connections, and half of the boxes speak it")
        private int http3;

        @Option(names = "--loss", paramLabel = "SHARE", description = "of the datagrams of these clients")
        private double loss;

        @Option(names = "--plain", description = "plain lines, also on a terminal")
        private boolean plain;

        @SuppressWarnings("SystemConsoleNull") // on JDK 17 there is none where output is no terminal
        @Override
        public Integer call() throws IOException, InterruptedException {
            boolean terminal = !plain && System.console() != null;
            Http3Run run = http3 > 0 ? new Http3Run(loss, http3, 1) : null;
            Demo demo = Demo.of(
                    scenario == null ? null : scenario.toPath(), seconds, rate, served(), run, System.out, terminal);
            Thread hook = new Thread(() -> {
                try {
                    demo.abort(20);
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            });
            Runtime.getRuntime().addShutdownHook(hook);
            int code = demo.run();
            try {
                Runtime.getRuntime().removeShutdownHook(hook);
            } catch (IllegalStateException e) {
                return code; // the process is being shut down: the signal sets the exit code
            }
            return code;
        }
    }

    /** Measures the balancer's cost on this machine. */
    @Command(
            name = "bench",
            mixinStandardHelpOptions = true,
            description = "Measures CPU a request and latencies through the balancer, through a bare pass-through and "
                    + "straight to the boxes, in turn.")
    static final class BenchCommand implements Callable<Integer> {
        @Option(
                names = "--seconds",
                paramLabel = "N",
                defaultValue = "5",
                description = "of each round and way (default ${DEFAULT-VALUE})")
        private long seconds;

        @Option(
                names = "--rounds",
                paramLabel = "N",
                defaultValue = "3",
                description = "counted ones, after one to warm up (default ${DEFAULT-VALUE})")
        private int rounds;

        @Option(
                names = "--rate",
                paramLabel = "N",
                defaultValue = "2000",
                description = "requests a second (default ${DEFAULT-VALUE})")
        private double rate;

        @Option(
                names = "--boxes",
                paramLabel = "N",
                split = ",",
                defaultValue = "8,100",
                description = "how many (default ${DEFAULT-VALUE})")
        private List<Integer> servers;

        @Option(names = "--json", paramLabel = "FILE", description = "writes the figures there as well")
        private File json;

        @Override
        public Integer call() throws IOException, InterruptedException {
            var result = new Benchmark(
                            System.out, served(), System.getProperty("java.class.path"), seconds, rounds, rate)
                    .run(servers);
            if (json != null) {
                Files.writeString(json.toPath(), Benchmark.json(result));
            }
            return 0;
        }
    }

    /** A balancer, configured by a file or as the platform does it. */
    @Command(
            name = "serve",
            mixinStandardHelpOptions = true,
            description =
                    "Runs a balancer, told by a configuration file, or without one by ROUTER_NAME, ROUTER_LISTEN, "
                            + "ROUTER_DISCOVERY and ROUTER_CONFIG. SIGHUP makes it read its file again, "
                            + "SIGTERM ends it in "
                            + "order.")
    static final class Serve implements Callable<Integer> {
        @Option(names = "--config", paramLabel = "FILE", description = "see `config` and `check`")
        private File config;

        @Override
        public Integer call() {
            if (config == null) {
                return LoadBalancerServer.serve(System.getenv());
            }
            Supplier<Config> read = () -> {
                try {
                    return ConfigFile.read(config.toPath());
                } catch (IOException | Problems.Bad e) {
                    throw new Config.Bad(describe(config, e));
                }
            };
            return LoadBalancerServer.serve(read, read, new Http3ServerExtension());
        }
    }

    private static String describe(File file, Exception e) {
        return e instanceof Problems.Bad
                ? e.getMessage()
                : "can't read " + file + " (" + e.getClass().getSimpleName() + ")";
    }

    /** Checks a configuration file. */
    @Command(
            name = "check",
            mixinStandardHelpOptions = true,
            description = "Names every problem of a configuration file, each with its line.",
            exitCodeListHeading = "%nExit codes:%n",
            exitCodeList = {"0:it can be used", "1:it can't, as told"})
    static final class Check implements Callable<Integer> {
        @Parameters(paramLabel = "FILE")
        private File file;

        @Override
        public Integer call() {
            try {
                ConfigFile.read(file.toPath());
                System.out.println(file + ": in order");
                return 0;
            } catch (IOException | Problems.Bad e) {
                System.err.println(describe(file, e));
                return 1;
            }
        }
    }

    /** Prints the default configuration. */
    @Command(
            name = "config",
            mixinStandardHelpOptions = true,
            description = "Prints a configuration file with all defaults and what they mean.")
    static final class Defaults implements Callable<Integer> {
        @Override
        public Integer call() throws IOException {
            try (InputStream in = ConfigFile.class.getResourceAsStream("default.toml")) {
                System.out.print(new String(in.readAllBytes(), StandardCharsets.UTF_8));
            }
            return 0;
        }
    }

    /** The decision module on the simulator's protocol. */
    @Command(
            name = "wirehost",
            mixinStandardHelpOptions = true,
            description = "The decisions on the simulator's wire, on standard input and output.")
    static final class Wirehost implements Callable<Integer> {
        @Override
        public Integer call() {
            Main.main(new String[] {"wirehost"});
            return 0;
        }
    }
}
