package junctionhead.cli;

import java.io.File;
import java.io.IOException;
import java.net.URISyntaxException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import junctionhead.Main;
import junctionhead.rig.Demo;
import picocli.AutoComplete;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** The command line of the whole product; the served archive has {@code serve} and {@code wirehost} only. */
@Command(name = "honeyspindle", mixinStandardHelpOptions = true, version = "honeyspindle 0.1.0",
    description = "A balancer for HTTP services that loses nothing, does nothing twice and keeps drains.",
    synopsisSubcommandLabel = "COMMAND", subcommands = {Cli.DemoCommand.class, Cli.Serve.class,
        Cli.Wirehost.class, AutoComplete.GenerateCompletion.class},
    exitCodeListHeading = "%nExit codes:%n", exitCodeList = {"0:all went well", "1:it failed, as told",
        "2:the command line can't be used", "130:ended by SIGINT"})
public final class Cli implements Callable<Integer> {
    @Override
    public Integer call() {
        CommandLine.usage(this, System.err);
        return CommandLine.ExitCode.USAGE;
    }

    public static void main(String[] args) {
        System.exit(run(args));
    }

    /** The exit code; exceptions are told in one line. */
    static int run(String... args) {
        return new CommandLine(new Cli()).setExecutionExceptionHandler((e, command, parsed) -> {
            command.getErr().println("honeyspindle: " + e.getMessage());
            return 1;
        }).execute(args);
    }

    /** Where the balancer's classes are: beside this archive, or on the class path as it is. */
    static String served() {
        try {
            Path own = Path.of(Cli.class.getProtectionDomain().getCodeSource().getLocation().toURI());
            Path beside = own.resolveSibling("junctionhead.jar");
            if (Files.isRegularFile(own) && Files.isRegularFile(beside)) {
                return beside.toString();
            }
        } catch (URISyntaxException e) {
            return System.getProperty("java.class.path");
        }
        return System.getProperty("java.class.path");
    }

    /** Boxes, discovery, a balancer and load on this machine. */
    @Command(name = "demo", mixinStandardHelpOptions = true, description =
        "Starts stand-in boxes, a discovery, a balancer and load on this machine, lets faults happen, and "
        + "ends with the tally.", exitCodeListHeading = "%nExit codes:%n", exitCodeList = {
            "0:no order was booked twice, none went unanswered, all drains were kept, no cold box fell",
            "1:one of these failed: its order and history are named", "2:the command line can't be used",
            "130:ended by SIGINT, after the tally"})
    static final class DemoCommand implements Callable<Integer> {
        @Option(names = "--seconds", paramLabel = "N", description = "how long the load lasts")
        private long seconds;
        @Option(names = "--rate", paramLabel = "N", description = "requests a second")
        private double rate;
        @Option(names = "--scenario", paramLabel = "FILE", description = "another scenario (docs/rig.md)")
        private File scenario;
        @Option(names = "--plain", description = "plain lines, also on a terminal")
        private boolean plain;

        @Override
        public Integer call() throws IOException, InterruptedException {
            boolean terminal = !plain && System.console() != null;
            Demo demo = Demo.of(scenario == null ? null : scenario.toPath(), seconds, rate, served(),
                System.out,
                terminal);
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
                return code;                        // on its way down: the signal gives the exit code
            }
            return code;
        }
    }

    /** A balancer, as the platform starts it. */
    @Command(name = "serve", mixinStandardHelpOptions = true,
        description = "Runs a balancer, as ROUTER_NAME, _LISTEN, _DISCOVERY and _CONFIG tell it.")
    static final class Serve implements Callable<Integer> {
        @Override
        public Integer call() {
            Main.main(new String[] {"serve"});
            return 0;
        }
    }

    /** The decisions on the simulator's wire. */
    @Command(name = "wirehost", mixinStandardHelpOptions = true,
        description = "The decisions on the simulator's wire, on standard input and output.")
    static final class Wirehost implements Callable<Integer> {
        @Override
        public Integer call() {
            Main.main(new String[] {"wirehost"});
            return 0;
        }
    }
}
