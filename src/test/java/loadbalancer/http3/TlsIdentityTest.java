package loadbalancer.http3;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.pkitesting.CertificateBuilder;
import io.netty.pkitesting.X509Bundle;
import java.nio.file.Files;
import java.nio.file.Path;
import loadbalancer.config.Config;
import loadbalancer.config.toml.ConfigFile;
import loadbalancer.config.toml.Problems;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Certificates and keys in PEM, and the part of the configuration that names them. */
class TlsIdentityTest {
    private static final String REST = """
        [[membership.server]]
        id = "s1"
        address = "127.0.0.1:9001"
        http3 = "127.0.0.1:9002"
        [[class]]
        name = "read"
        effect = "safe"
        aim = "1s"
        deadline = "2s"
        """;

    @TempDir
    Path folder;

    private static X509Bundle made(CertificateBuilder.Algorithm algorithm) throws Exception {
        return new CertificateBuilder()
                .subject("CN=a.test")
                .setIsCertificateAuthority(true)
                .algorithm(algorithm)
                .buildSelfSigned();
    }

    private Config read(String table) throws Exception {
        Path file = folder.resolve("balancer.toml");
        Files.writeString(file, table + REST);
        return ConfigFile.read(file);
    }

    @Test
    void ellipticCurveAndRsaKeysAreRead() throws Exception {
        for (var algorithm : new CertificateBuilder.Algorithm[] {
            CertificateBuilder.Algorithm.ecp256, CertificateBuilder.Algorithm.rsa2048
        }) {
            X509Bundle made = made(algorithm);
            TlsIdentity read = TlsIdentity.parse(made.getCertificatePathPEM(), made.getPrivateKeyPEM());
            assertEquals(made.getCertificate(), read.chain().get(0));
        }
    }

    @Test
    void aKeyOfAnotherCertificateIsRejectedWithTheReason() throws Exception {
        X509Bundle one = made(CertificateBuilder.Algorithm.ecp256);
        X509Bundle two = made(CertificateBuilder.Algorithm.ecp256);
        X509Bundle rsa = made(CertificateBuilder.Algorithm.rsa2048);
        assertEquals(
                "another key than the certificate's",
                assertThrows(
                                IllegalArgumentException.class,
                                () -> TlsIdentity.parse(one.getCertificatePathPEM(), two.getPrivateKeyPEM()))
                        .getMessage());
        assertTrue(assertThrows(
                        IllegalArgumentException.class,
                        () -> TlsIdentity.parse(one.getCertificatePathPEM(), rsa.getPrivateKeyPEM()))
                .getMessage()
                .startsWith("not a EC key"));
        assertThrows(IllegalArgumentException.class, () -> TlsIdentity.parse("", one.getPrivateKeyPEM()));
        assertThrows(
                IllegalArgumentException.class,
                () -> TlsIdentity.parse(one.getCertificatePathPEM(), one.getCertificatePathPEM()));
    }

    @Test
    void theHttp3TableIsReadWithItsFiles() throws Exception {
        X509Bundle made = made(CertificateBuilder.Algorithm.ecp256);
        Files.writeString(folder.resolve("cert.pem"), made.getCertificatePathPEM());
        Files.writeString(folder.resolve("key.pem"), made.getPrivateKeyPEM());
        Config config = read("""
            [http3]
            listen = "127.0.0.1:8443"
            certificate = "cert.pem"
            key = "key.pem"
            trust = "cert.pem"
            connections = 77
            """);
        assertEquals(77, config.http3().sessions().connections());
        assertEquals(made.getCertificate(), config.http3().identity().chain().get(0));
        assertEquals(1, config.http3().trust().size());
        assertEquals(9002, config.known().endpoints().get(0).http3Address().getPort());
        assertEquals(null, read("").http3());
        assertTrue(config.waiting(read("")).contains("http3"));
    }

    @Test
    void everyProblemOfTheHttp3TableIsReportedWithItsLine() throws Exception {
        X509Bundle one = made(CertificateBuilder.Algorithm.ecp256);
        Files.writeString(folder.resolve("cert.pem"), one.getCertificatePathPEM());
        Files.writeString(
                folder.resolve("key.pem"),
                made(CertificateBuilder.Algorithm.ecp256).getPrivateKeyPEM());
        Files.writeString(folder.resolve("cut.pem"), one.getCertificatePathPEM().substring(0, 200));
        Problems.Bad bad = assertThrows(Problems.Bad.class, () -> read("""
            [http3]
            listen = "nowhere"
            certificate = "cert.pem"
            key = "key.pem"
            trust = "cut.pem"
            connections = 0
            streems = 5
            """));
        String file = folder.resolve("balancer.toml").toString();
        assertEquals(
                file + ":2: http3.listen: not address:port: 'nowhere'",
                bad.problems().get(0));
        assertEquals(
                file + ":4: http3.key: another key than the certificate's",
                bad.problems().get(1));
        assertTrue(bad.problems().get(2).startsWith(file + ":5: http3.trust: "), bad.getMessage());
        assertTrue(bad.problems().get(3).startsWith(file + ":6: http3.connections: not between"));
        assertTrue(bad.problems().get(4).endsWith("the nearest known is 'streams'"), bad.getMessage());
        assertEquals(5, bad.problems().size());
        Problems.Bad missing = assertThrows(
                Problems.Bad.class, () -> read("[http3]\nlisten = \"127.0.0.1:1\"\ncertificate = \"none.pem\"\n"));
        assertEquals(2, missing.problems().size());
        assertTrue(missing.getMessage().contains("can't read 'none.pem' (NoSuchFileException)"));
    }
}
