package loadbalancer.testbed;

import io.netty.channel.EventLoop;
import io.netty.pkitesting.CertificateBuilder;
import io.netty.pkitesting.X509Bundle;
import java.net.InetSocketAddress;
import loadbalancer.http3.TlsIdentity;

/**
 * HTTP/3 in a run: the certificate of balancer and servers, made for it, and the path between clients and
 * balancer with its faults. For the thread of the run.
 */
public final class Http3Run implements AutoCloseable {
    private final X509Bundle bundle;
    private final RelayScript.Faults faults;
    private final long seed;
    private final int connections;
    private UdpRelay relay;

    /**
     * @param loss the share of datagrams that the path loses, each way
     * @param connections of clients over HTTP/3
     * @throws IllegalStateException where no certificate can be made
     */
    public Http3Run(double loss, int connections, long seed) {
        this.faults = RelayScript.Faults.loss(loss);
        this.seed = seed;
        this.connections = connections;
        try {
            bundle = new CertificateBuilder()
                    .subject("CN=testbed")
                    .addSanIpAddress("127.0.0.1")
                    .setIsCertificateAuthority(true)
                    .algorithm(CertificateBuilder.Algorithm.ecp256)
                    .buildSelfSigned();
        } catch (Exception e) { // of three kinds, none of which should be
            throw new IllegalStateException("no certificate can be made", e);
        }
    }

    TlsIdentity identity() {
        return TlsIdentity.parse(bundle.getCertificatePathPEM(), bundle.getPrivateKeyPEM());
    }

    /** The certificate and its key. */
    String[] pem() {
        return new String[] {bundle.getCertificatePathPEM(), bundle.getPrivateKeyPEM()};
    }

    /** Clients of the balancer, through the path. */
    Http3Clients open(EventLoop loop, InetSocketAddress balancer) throws InterruptedException {
        relay = new UdpRelay(loop, balancer, new RelayScript(seed, faults));
        Http3Clients clients = new Http3Clients(loop, relay.open(), bundle.getCertificate(), connections);
        clients.open();
        return clients;
    }

    String summary() {
        return "datagrams on the path of " + connections + " HTTP/3 connections: " + relay.counts()[0];
    }

    @Override
    public void close() {
        if (relay != null) {
            relay.close();
        }
    }
}
