package loadbalancer.cli;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.Callable;
import loadbalancer.testbed.PausedProcesses;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Pauses processes of the program with requests in their sockets. */
@Command(
        name = "standstills",
        mixinStandardHelpOptions = true,
        description =
                "Starts processes of the program, stand-in boxes and a discovery on this machine, lets each process "
                        + "stand still at a point of its life with requests in its sockets, "
                        + "and tells what became of these.",
        exitCodeListHeading = "%nExit codes:%n",
        exitCodeList = {
            "0:each request was served once, and no drained box got one",
            "1:one was not: what came is told",
            "2:the command line can't be used"
        })
final class PausedProcessesCommand implements Callable<Integer> {
    @Option(
            names = "--processes",
            paramLabel = "N",
            defaultValue = "3",
            description = "how many (default ${DEFAULT-VALUE}); each takes some 70 MB")
    private int processes;

    @Option(names = "--at", paramLabel = "POINT", split = ",", description = "${COMPLETION-CANDIDATES} (default all)")
    private List<PausedProcesses.PausePoint> points = List.of(PausedProcesses.PausePoint.values());

    @Option(
            names = "--kept",
            paramLabel = "N",
            defaultValue = "60",
            description = "connections that each has had before, of which three in four carry a request "
                    + "(default ${DEFAULT-VALUE})")
    private int kept;

    @Option(
            names = "--fresh",
            paramLabel = "N",
            defaultValue = "25",
            description = "connections that come while it stands (default ${DEFAULT-VALUE})")
    private int fresh;

    @Override
    public Integer call() throws IOException, InterruptedException {
        int code = 0;
        for (PausedProcesses.PausePoint point : points) {
            try (PausedProcesses run = new PausedProcesses(
                    System.getProperty("java.class.path"), new PausedProcesses.Size(processes, kept, fresh))) {
                Thread hook = new Thread(run::close);
                Runtime.getRuntime().addShutdownHook(hook);
                PausedProcesses.Outcome outcome = run.play(point);
                Runtime.getRuntime().removeShutdownHook(hook);
                System.out.println(outcome.summary());
                outcome.examples().forEach(e -> System.out.println("  " + e));
                code = outcome.isClean() ? code : 1;
            }
        }
        return code;
    }
}
