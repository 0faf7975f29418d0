package loadbalancer.server.http3;

import java.io.IOException;
import java.net.InetSocketAddress;
import loadbalancer.config.Config;
import loadbalancer.downstream.http3.Http3Listener;
import loadbalancer.http3.Http3Settings;
import loadbalancer.http3.TlsIdentity;
import loadbalancer.proxy.AttemptTransport;
import loadbalancer.server.ServerExtension;
import loadbalancer.settings.SettingsReader;
import loadbalancer.upstream.http3.Http3AttemptTransport;

/** HTTP/3 for a node: to clients, to upstreams, or both, as its configuration says. */
public final class Http3ServerExtension implements ServerExtension {
    @Override
    public Part of(Lent lent) {
        return lent.config().http3() == null ? null : new InNode(lent);
    }

    private static final class InNode implements Part {
        private static final int ADVERTISED = 3600; // s that clients keep it in mind

        private final Lent lent;
        private final Http3Settings told;
        private final Http3Listener server; // null where no client speaks it
        private TlsIdentity identity; // shown to clients
        private Http3AttemptTransport upstreams; // null where no upstream does

        InNode(Lent lent) {
            this.lent = lent;
            told = lent.config().http3();
            identity = told.identity();
            server = told.listen() == null
                    ? null
                    : new Http3Listener(
                            lent.loop(),
                            lent.config().boot(),
                            lent.dispatcher(),
                            lent.room(),
                            told.identity(),
                            new Http3Listener.Limits(told.sessions(), told.streams(), told.idle()),
                            lent.log());
        }

        @Override
        public AttemptTransport transport(AttemptTransport usual) {
            if (told.trust().isEmpty()) {
                return usual;
            }
            upstreams = new Http3AttemptTransport(
                    lent.loop(),
                    lent.config().boot(),
                    lent.dispatcher()::now,
                    lent.dispatcher(),
                    usual,
                    new Http3AttemptTransport.Limits(
                            told.upstream(), told.trust(), told.serverName(), told.idle(), true),
                    lent.log());
            return upstreams;
        }

        @Override
        public InetSocketAddress listen() throws IOException {
            return server == null ? null : server.listen(told.listen());
        }

        @Override
        public String advertisement(InetSocketAddress at) {
            return told.advertise() ? "h3=\":" + at.getPort() + "\"; ma=" + ADVERTISED : null;
        }

        @Override
        public void warmUp(InetSocketAddress at, Runnable done) {
            if (server == null) {
                done.run();
            } else {
                new Http3WarmUp(lent.loop(), lent.config(), told, at, lent.dispatcher()::now, done).start();
            }
        }

        @Override
        public void ready() {
            if (server != null) {
                server.ready();
            }
        }

        @Override
        public void reloadCertificates(Config fresh) {
            TlsIdentity other = fresh.http3() == null ? null : fresh.http3().identity();
            if (server != null && other != null && !other.equals(identity)) {
                identity = other;
                server.renew(other);
                lent.log().accept("http3: new connections are shown another certificate");
            }
        }

        @Override
        public void reload(SettingsReader.Boot to) {
            if (server != null) {
                server.reload(to);
            }
        }

        @Override
        public void stopping() {
            if (server != null) {
                server.stopping();
            }
        }

        @Override
        public void close() {
            if (server != null) {
                server.close();
            }
        }

        @Override
        public void end() {
            if (server != null) {
                server.end();
            }
            if (upstreams != null) {
                upstreams.end();
            }
        }
    }
}
