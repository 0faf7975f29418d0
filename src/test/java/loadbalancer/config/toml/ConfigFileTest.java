package loadbalancer.config.toml;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.pkitesting.X509Bundle;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import loadbalancer.config.Config;
import loadbalancer.policy.Policy;
import loadbalancer.server.Certificates;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class ConfigFileTest {
    private static final String FILE_WITH_PROBLEMS = """
            [node]
            listen = "localhost:80"
            rank = 3
            sede = 4
            [membership]
            source = "static"
            [[membership.server]]
            id = "a"
            address = "127.0.0.1:99999"
            wieght = 2
            [[class]]
            name = "read"
            effect = "harmless"
            aim = "200"
            deadline = "1s"
            [[class]]
            name = "read"
            effect = "keyed"
            aim = "2s"
            deadline = "1s"
            zones = ["b"]
            [limits]
            connect = 5
            client-floor = 0.9
            """;

    private static final String FULL_FILE = """
            node = { zone = "b", seed = 7 }
            [membership]
            zones = ["a", "b"]
            [[membership.server]]
            id = "s1"
            address = "127.0.0.1:9001"
            zone = "b"
            model = "big"
            cell = 4
            weight = 2.5
            [[class]]
            name = "read"
            effect = "safe"
            aim = "200ms"
            deadline = "1s"
            [[class]]
            name = "stamp"
            effect = "keyed"
            window = "5s"
            aim = "250ms"
            deadline = "500ms"
            worth = 9
            late = 0.25
            zones = ["b"]
            models = ["big"]
            [[tenant]]
            name = "acme"
            allowance = 20
            """;

    private static String defaults() throws IOException {
        return resource("default.toml");
    }

    private static String resource(String name) throws IOException {
        try (InputStream in = ConfigFile.class.getResourceAsStream(name)) {
            return new String(in.readAllBytes(), StandardCharsets.UTF_8);
        }
    }

    @Test
    void defaultFileEqualsAFileWithoutOptionalKeys() throws IOException, Problems.Bad {
        Config all = ConfigFile.read("f.toml", defaults());
        Config minimal = ConfigFile.read("f.toml", """
            [[membership.server]]
            id = "box-1"
            address = "127.0.0.1:9001"
            [[class]]
            name = "read"
            effect = "safe"
            aim = "200ms"
            deadline = "1s"
            """);
        assertEquals(minimal.boot(), all.boot());
        assertEquals(minimal.known(), all.known());
        assertEquals(minimal.connections(), all.connections());
        assertEquals(minimal.listen(), all.listen());
        assertEquals(Policy.Discovery.PUSH, all.boot().settings().discovery());
    }

    /** Operators' files of 2 December 2026 keep their meaning, whatever the code calls their settings. */
    @Test
    void recordedFileIsReadUnchanged() throws IOException, Problems.Bad {
        Config now = ConfigFile.read("f.toml", defaults());
        Config recorded = ConfigFile.read("f.toml", resource("recorded-default.toml"));
        assertEquals(now.boot(), recorded.boot());
        assertEquals(now.known(), recorded.known());
        assertEquals(now.connections(), recorded.connections());
        assertEquals(now.listen(), recorded.listen());
        assertEquals(List.of("read"), recorded.boot().classes());
        assertEquals(200_000, recorded.boot().settings().classes().get(0).aimMicros());
        assertEquals(1_000_000, recorded.boot().settings().classes().get(0).deadlineMicros());
        assertEquals(
                new Policy.Limits(3, true, true, false, 500_000, 2_000_000),
                recorded.boot().settings().limits());
        assertEquals(
                new Policy.Bounds(8_000, 1_000_000, 0, 0.3, 8_000_000, 3, 1_000_000, 0),
                recorded.boot().settings().bounds());
        assertEquals(8080, recorded.listen().getPort());
        assertEquals("box-1", recorded.known().servers().get(0).id());
    }

    /** Each setting that the default file shows in a comment is valid. */
    @Test
    void commentedOutKeysAreValidAndShowTheDefaults(@TempDir Path folder) throws Exception {
        X509Bundle certificate = Certificates.selfSigned();
        Files.writeString(folder.resolve("cert.pem"), certificate.getCertificatePathPEM());
        Files.writeString(folder.resolve("ca.pem"), certificate.getCertificatePathPEM());
        Files.writeString(folder.resolve("key.pem"), certificate.getPrivateKeyPEM());
        String text = defaults()
                .replace("source = \"static\" ", "source = \"discovery\" ")
                .replaceAll("(?m)^# (?=[a-z\\[])", "")
                .replaceAll("(?s)\\[\\[membership.server]].*?\\n\\n", "");
        String name = folder.resolve("f.toml").toString();
        Config config = ConfigFile.read(name, text);
        String withoutOptionalKeys =
                text.replaceAll("(?m)^(?!listen|certificate|key|trust|server-name)[a-z-]+ = .*$(?=[^\\[]*\\z)", "");
        assertTrue(withoutOptionalKeys.length() < text.length() - 500);
        assertEquals(
                ConfigFile.read(name, withoutOptionalKeys).http3(), config.http3(), "the defaults are as documented");
        assertEquals(8500, config.discovery().getPort());
        assertEquals(960, config.connections().most());
        assertEquals(List.of("acme"), config.boot().tenants());
        assertEquals(1, config.seed());
    }

    @Test
    void allProblemsAreReportedAtOnceInTheOrderOfTheFile() {
        assertEquals(
                List.of(
                        "f.toml:1: node.rank: not below node.balancers, which is 1",
                        "f.toml:2: node.listen: not an address: 'localhost'",
                        "f.toml:4: node.sede: unknown; the nearest known is 'seed'",
                        "f.toml:9: membership.server[0].address: not address:port: '127.0.0.1:99999'",
                        "f.toml:10: membership.server[0].wieght: unknown; the nearest known is 'weight'",
                        "f.toml:13: class[0].effect: not one of safe, keyed, unsafe: 'harmless'",
                        "f.toml:14: class[0].aim: not a time like 250ms or 1.5s: '200'",
                        "f.toml:16: class[1].window: missing: for how long a keyed request's key is remembered",
                        "f.toml:16: class[1].name: stands twice: 'read'",
                        "f.toml:19: class[1].aim: longer than the deadline",
                        "f.toml:21: class[1].zones: not among [default]: [b]",
                        "f.toml:23: limits.connect: not a time like 250ms or 1.5s: '5'",
                        "f.toml:24: limits.client-floor: with the others of the table out of range: upstreamFloor=0.2"),
                assertThrows(Problems.Bad.class, () -> ConfigFile.read("f.toml", FILE_WITH_PROBLEMS))
                        .problems());
    }

    /** A comma in a zone's name would make two zones of one, and put servers into the wrong ones. */
    @Test
    void namesWithCommasOrSpacesAreRejected() {
        assertEquals(
                List.of(
                        "f.toml:4: membership.server[0].zone: not a name without spaces and commas: 'a,b'",
                        "f.toml:6: class[0].name: not a name without spaces and commas: 'read all'"),
                assertThrows(Problems.Bad.class, () -> ConfigFile.read("f.toml", """
                [[membership.server]]
                id = "s"
                address = "127.0.0.1:1"
                zone = "a,b"
                [[class]]
                name = "read all"
                effect = "safe"
                aim = "1s"
                deadline = "1s"
                """)).problems().stream()
                        .filter(p -> !p.contains("node.zone"))
                        .toList());
    }

    @Test
    void classesTenantsAndServersReachTheConfiguration() throws Problems.Bad {
        Config config = ConfigFile.read("f.toml", FULL_FILE);
        assertEquals(List.of("read", "stamp"), config.boot().classes());
        Policy.RequestClass stamp = config.boot().settings().classes().get(1);
        assertEquals(5_000_000, stamp.keyTtlMicros());
        assertEquals(Set.of(1), stamp.zones());
        assertEquals(1, config.boot().settings().zone());
        assertEquals(
                new Policy.Server("s1", Policy.State.UP, 0, 2.5, 4, 0, 1),
                config.known().servers().get(0));
        assertEquals(20, config.boot().settings().tenants().get(0).allowancePerSecond());
        assertTrue(config.waiting(config).isEmpty());
    }
}
