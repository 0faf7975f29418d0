package loadbalancer.server;

import java.net.InetSocketAddress;
import loadbalancer.config.Config;
import loadbalancer.proxy.AttemptTransport;
import loadbalancer.settings.SettingsReader;

/** The part of a balancer that serves HTTP/1.1 alone: does nothing. */
final class NoExtension implements ServerExtension.Part {
    static final NoExtension INSTANCE = new NoExtension();

    private NoExtension() {}

    @Override
    public AttemptTransport transport(AttemptTransport usual) {
        return usual;
    }

    @Override
    public InetSocketAddress listen() {
        return null;
    }

    @Override
    public String advertisement(InetSocketAddress at) {
        return null;
    }

    @Override
    public void warmUp(InetSocketAddress at, Runnable done) {
        done.run();
    }

    @Override
    public void ready() {}

    @Override
    public void reloadCertificates(Config fresh) {}

    @Override
    public void reload(SettingsReader.Boot to) {}

    @Override
    public void stopping() {}

    @Override
    public int partialRequests() {
        return 0;
    }

    @Override
    public void refusePartialRequests() {}

    @Override
    public int unsentResponses() {
        return 0;
    }

    @Override
    public void close() {}

    @Override
    public void end() {}
}
