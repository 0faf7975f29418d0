package loadbalancer.simulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.StringReader;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import loadbalancer.policy.JsqDasPolicy;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests of the wire protocol: messages in, actions out, and errors that name the malformed field. */
class SimulatorAdapterTest {
    private static final String SETTINGS = String.join(
            "\t",
            "Balancers=2",
            "Classes.count=1",
            "Classes.0.Idempotency=safe",
            "Classes.0.GoalTime=600000",
            "Classes.0.GiveUp=1200000",
            "Limits.TryLimit=3",
            "Limits.MayDuplicate=true",
            "Limits.Cancel=true",
            "Limits.Probes=true",
            "MembershipMode=push",
            "Rules.AnswerSlack=20000",
            "Rules.DrainGrace=1000000",
            "Rules.ColdFrom=0.2",
            "Rules.RampTime=20000000",
            "Rules.OverloadFactor=2.5",
            "Rules.Fall=1500000",
            "Quantum=5000",
            "Stats.Fields=outstanding,recent_ms",
            "Unknown.Key=whatever");

    private static String enlist(String instance, String settings) {
        return "AT\t" + instance + "\nENLIST\t7\t" + settings + "\nLIST\t0\t2\n"
                + "ITEM\t-\t10.0.0.1:80\tU\t1\t0\t0\t0\nITEM\t-\t10.0.0.2:80\tU\t1.5\t0\t0\t0\n"
                + "SYNC\tPersisted\t1\t0\n";
    }

    private static String inbound(String request) {
        return "INBOUND\t" + request + "\t0\t-\t-\t600000\t-\t0\n";
    }

    private static String run(String input) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        new SimulatorAdapter(JsqDasPolicy::new, new BufferedReader(new StringReader(input)), out).run();
        return out.toString(StandardCharsets.UTF_8);
    }

    @Test
    void eachBatchIsAnsweredOnceAndNamesTheInstance() throws IOException {
        String out = run("TICK\t1000000\nGO\nTICK\t1000000\n" + enlist("balancer/0", SETTINGS) + inbound("a")
                + "GO\nTICK\t1005000\nGO\n");
        List<String> lines = new ArrayList<>(List.of(out.split("\n")));
        assertEquals(3, lines.stream().filter("DONE"::equals).count());
        assertEquals("DONE", lines.get(0));
        assertEquals("ON_BEHALF\tbalancer/0", lines.get(1));
        assertTrue(lines.get(3).matches("DELIVER\ta\t10\\.0\\.0\\.[12]:80\t0"), lines.get(3));
    }

    @Test
    void syncUsesTheLatestListOfItsBuffer() throws IOException {
        String out = run("TICK\t1\n" + enlist("balancer/0", SETTINGS)
                + "LIST\t0\t1\nITEM\t-\t10.0.0.9:80\tU\t1\t0\t0\t0\nSYNC\tComplete\t2\t0\n"
                + inbound("a") + "GO\n");
        assertTrue(out.contains("DELIVER\ta\t10.0.0.9:80"), out);
    }

    @Test
    void instanceMayExitAndRestartInOneBatch() throws IOException {
        String out = run("TICK\t1\n" + enlist("balancer/0", SETTINGS) + inbound("a")
                + "GO\nTICK\t2\nAT\tbalancer/0\nEXIT\n" + enlist("balancer/0", SETTINGS)
                + "RESPONSE\ta\t0\t10.0.0.1:80\t200\t1\t1\t4,2.5\n"
                + inbound("b") + "GO\n");
        assertTrue(out.contains("DELIVER\tb\t"), out);
    }

    @Test
    void instancesOfOneProcessActLikeSeparateProcesses() throws IOException {
        String first = "TICK\t1\n" + enlist("balancer/0", SETTINGS) + inbound("a") + inbound("b") + "GO\n";
        String second = "TICK\t1\n" + enlist("balancer/1", SETTINGS) + inbound("c") + inbound("d") + "GO\n";
        String both = "TICK\t1\n" + enlist("balancer/0", SETTINGS) + inbound("a") + inbound("b")
                + enlist("balancer/1", SETTINGS) + inbound("c") + inbound("d") + "GO\n";
        assertEquals(run(first).replace("DONE\n", "") + run(second), run(both));
    }

    @Test
    void policyFailureIsReportedAsBailOut() throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        SimulatorAdapter.Factory failingFactory = (settings, seed) -> {
            throw new IllegalStateException("odd\tstate");
        };
        new SimulatorAdapter(
                        failingFactory,
                        new BufferedReader(new StringReader("TICK\t1\n" + enlist("balancer/0", SETTINGS) + "GO\n")),
                        out)
                .run();
        String text = out.toString(StandardCharsets.UTF_8);
        assertTrue(
                text.startsWith("ON_BEHALF\tbalancer/0\nBAIL_OUT\tjava.lang.IllegalStateException: " + "odd state"),
                text);
        assertTrue(text.endsWith("DONE\n"), text);
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "TICK~x~GO | line 1: TICK: field Clock: not an integer: 'x'",
                "HELLO | line 1: HELLO: field TICK: a batch must begin with TICK",
                "TICK~1 | line 2: GO: field GO: the input ends within a batch",
                "TICK~1~DUE~sweep | line 2: DUE: field Balancer: no AT line names the instance",
                "TICK~1~AT~b/3~DUE~wake | line 3: DUE: field Balancer: no such instance is running: 'b/3'",
                "TICK~1~LIST~16~0 | line 2: LIST: field Buffer: not between 0 and 15: 16",
                "TICK~1~LIST~0~1~GO | line 3: LIST: field Entries: 1 ITEM lines announced, 0 found",
                "TICK~1~LIST~0~1~ITEM~-~a:1~Q~1~0~0~0 | line 3: ITEM: field StageState: unknown value: 'Q'",
                "TICK~1~LIST~0~1~ITEM~-~a:1~U~x~0~0~0 | line 3: ITEM: field Heft: not a number: 'x'",
            })
    void malformedMessageIsRejectedWithItsLineAndField(String input, String expectedError) {
        String text = input.strip();
        for (String word : List.of("GO", "AT", "DUE", "LIST", "ITEM")) {
            text = text.replace("~" + word, "\n" + word);
        }
        String messages = text.replace('~', '\t') + "\n";
        assertEquals(
                expectedError.strip(),
                assertThrows(SimulatorProtocolException.class, () -> run(messages))
                        .getMessage());
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "RESPONSE~a~0~10.0.0.1:80~999~1~0~- | Rc: unknown code: '999'",
                "RESPONSE~a~0~10.0.0.1:80~200~1~2~- | Closed: not 0 or 1: '2'",
                "RESPONSE~a~0~10.0.0.1:80~200~1~1~5 | Usage: 2 values expected, 1 found",
                "RESPONSE~a~0~10.0.0.1:80~200~1 | Closed: is missing",
                "INBOUND~a~5~-~-~1~-~0 | Priority: not between 0 and 0: 5",
                "INBOUND~a~0~-~-~soon~-~0 | Ttl: not an integer: 'soon'",
                "SYNC~Some~1~0 | How: unknown value: 'Some'",
                "SYNC~Partial~1~3 | Buffer: no LIST has filled this buffer: 3",
                "MAIL~0~%%% | Data: not Base64: '%%%'",
                "NONSENSE~1 | NONSENSE: unknown message",
            })
    void malformedEventIsRejectedWithItsLineAndField(String event, String expectedError) {
        String messages =
                "TICK\t1\n" + enlist("balancer/0", SETTINGS) + event.strip().replace('~', '\t') + "\nGO\n";
        String message = assertThrows(SimulatorProtocolException.class, () -> run(messages))
                .getMessage();
        assertTrue(message.startsWith("line 8: ") && message.endsWith("field " + expectedError.strip()), message);
    }

    @ParameterizedTest
    @CsvSource({
        "Balancers=2",
        "Classes.0.GoalTime=600000",
        "Rules.ColdFrom=0.2",
        "Quantum=5000",
        "MembershipMode=push",
        "Limits.TryLimit=3"
    })
    void missingRequiredSettingIsRejectedByName(String setting) {
        String messages = "TICK\t1\n" + enlist("balancer/0", SETTINGS.replace(setting + "\t", "")) + "GO\n";
        assertEquals(
                "line 3: ENLIST: field " + setting.substring(0, setting.indexOf('=')) + ": required setting is missing",
                assertThrows(SimulatorProtocolException.class, () -> run(messages))
                        .getMessage());
    }

    @Test
    void eventsForUnknownRequestsAreIgnored() throws IOException {
        String out = run("TICK\t1\n" + enlist("balancer/0", SETTINGS)
                + "RESPONSE\tz\t0\t10.0.0.1:80\t502\t1\t0\t-\nWITHDRAWN\tz\nACK_FIRST\tz\t0\t10.0.0.1:80\t5\n"
                + "PROBE_RESULT\t10.0.0.1:80\t5\t200\t1,2\nMAIL\t1\tAAAA\nDUE\told\nGO\n");
        assertTrue(out.endsWith("DONE\n") && !out.contains("ERROR") && !out.contains("BAIL_OUT"), out);
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "Classes.0.AllowedIn=2 | Classes.0.AllowedIn: not between 0 and 1: '2'",
                "Classes.0.AllowedIn=0,x | Classes.0.AllowedIn: not between 0 and 1: 'x'",
                "Classes.0.RunsOn=-1 | Classes.0.RunsOn: not between 0 and 0: '-1'",
                "Locality=2 | Locality: not between 0 and 1: 2",
                "Classes.0.InOrder=maybe | Classes.0.InOrder: not true or false: 'maybe'",
                "Prices.CrossZone=-1 | BootInfo: impossible crossZone: -1.0",
                "Rules.OrderPause=-5 | BootInfo: impossible orderPause: -5",
            })
    void impossiblePlacementOrOrderIsRejectedAtTheStart(String setting, String expectedError) {
        String settings = SETTINGS + "\tAreas=a,b\tKinds=k\t" + setting.strip();
        String messages = "TICK\t1\n" + enlist("balancer/0", settings) + "GO\n";
        assertEquals(
                "line 3: ENLIST: field " + expectedError.strip(),
                assertThrows(SimulatorProtocolException.class, () -> run(messages))
                        .getMessage());
    }

    @Test
    void placementAndOrderReachThePolicy() throws IOException {
        String settings = SETTINGS + "\tAreas=a,b\tClasses.0.AllowedIn=1\tClasses.0.InOrder=true";
        String out = run("TICK\t1\n" + enlist("balancer/0", settings) + "LIST\t1\t1\n"
                + "ITEM\t-\t10.0.0.7:80\tU\t1\t0\t0\t1\nSYNC\tPartial\t2\t1\n"
                + "INBOUND\ta\t0\t-\tab\t600000\t-\t0\nINBOUND\tb\t0\t-\tab\t600000\t-\t0\nGO\n");
        assertTrue(out.contains("DELIVER\ta\t10.0.0.7:80"), out);
        assertTrue(!out.contains("DELIVER\tb"), "b waits for the response to a: " + out);
    }
}
