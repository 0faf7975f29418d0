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

/** HTTP/3 (RFC 9114) to clients, to upstreams, or both, as the configuration says. */
public final class Http3ServerExtension implements ServerExtension {
    @Override
    public Part of(Lent server) {
        return server.config().http3() == null ? null : new Http3Part(server);
    }

    /** HTTP/3 in one balancer. */
    private static final class Http3Part implements Part {
        private static final int ALT_SVC_MAX_AGE_SECONDS = 3600;

        private final Lent server;
        private final Http3Settings settings;
        private final Http3Listener listener; // null where it is off for clients
        private TlsIdentity identity; // presented to clients
        private Http3AttemptTransport upstreams; // null where it is off for upstreams

        Http3Part(Lent server) {
            this.server = server;
            settings = server.config().http3();
            identity = settings.identity();
            listener = settings.listen() == null
                    ? null
                    : new Http3Listener(
                            server.loop(),
                            server.config().boot(),
                            server.dispatcher(),
                            server.memory().http3Bodies(),
                            settings.identity(),
                            new Http3Listener.Limits(settings.sessions(), settings.streams(), settings.idle()),
                            server.log());
        }

        @Override
        public AttemptTransport transport(AttemptTransport usual) {
            if (settings.trust().isEmpty()) {
                return usual;
            }
            upstreams = new Http3AttemptTransport(
                    server.loop(),
                    server.config().boot(),
                    server.dispatcher()::now,
                    server.dispatcher(),
                    usual,
                    new Http3AttemptTransport.Limits(
                            settings.upstream(), settings.trust(), settings.serverName(), settings.idle(), true),
                    server.log());
            return upstreams;
        }

        @Override
        public InetSocketAddress listen() throws IOException {
            return listener == null ? null : listener.listen(settings.listen());
        }

        @Override
        public String advertisement(InetSocketAddress at) {
            return settings.advertise() ? "h3=\":" + at.getPort() + "\"; ma=" + ALT_SVC_MAX_AGE_SECONDS : null;
        }

        @Override
        public void warmUp(InetSocketAddress at, Runnable done) {
            if (listener == null) {
                done.run();
            } else {
                new Http3WarmUp(server.loop(), server.config(), settings, at, server.dispatcher()::now, done).start();
            }
        }

        @Override
        public void ready() {
            if (listener != null) {
                listener.markReady();
            }
        }

        @Override
        public void reloadCertificates(Config fresh) {
            TlsIdentity renewed = fresh.http3() == null ? null : fresh.http3().identity();
            if (listener != null && renewed != null && !renewed.equals(identity)) {
                identity = renewed;
                listener.renewIdentity(renewed);
                server.log().accept("http3: new connections are shown another certificate");
            }
        }

        @Override
        public void reload(SettingsReader.Boot to) {
            if (listener != null) {
                listener.reload(to);
            }
        }

        @Override
        public void stopping() {
            if (listener != null) {
                listener.startDraining();
            }
        }

        @Override
        public int partialRequests() {
            return listener == null ? 0 : listener.partialRequests();
        }

        @Override
        public void refusePartialRequests() {
            if (listener != null) {
                listener.refusePartialRequests();
            }
        }

        @Override
        public int unsentResponses() {
            return listener == null ? 0 : listener.unsentResponses();
        }

        @Override
        public void close() {
            if (listener != null) {
                listener.rejectNewStreams();
            }
        }

        @Override
        public void end() {
            if (listener != null) {
                listener.closeConnections();
            }
            if (upstreams != null) {
                upstreams.end();
            }
        }
    }
}
