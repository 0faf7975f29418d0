package loadbalancer.server;

import io.netty.pkitesting.CertificateBuilder;
import io.netty.pkitesting.X509Bundle;
import loadbalancer.http3.TlsIdentity;

/** Self-signed certificates for tests, generated in each run, for 127.0.0.1 and the name box.test. */
public final class Certificates {
    private Certificates() {}

    /** A certificate and its key, different at each call. */
    public static X509Bundle selfSigned() {
        try {
            return new CertificateBuilder()
                    .subject("CN=box.test")
                    .addSanDnsName("box.test")
                    .addSanIpAddress("127.0.0.1")
                    .setIsCertificateAuthority(true)
                    .algorithm(CertificateBuilder.Algorithm.ecp256)
                    .buildSelfSigned();
        } catch (Exception e) {
            throw new AssertionError("no certificate", e);
        }
    }

    static TlsIdentity identity(X509Bundle bundle) {
        return TlsIdentity.parse(bundle.getCertificatePathPEM(), bundle.getPrivateKeyPEM());
    }
}
