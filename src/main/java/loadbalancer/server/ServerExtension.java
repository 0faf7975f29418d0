package loadbalancer.server;

import io.netty.channel.EventLoop;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.function.Consumer;
import loadbalancer.config.Config;
import loadbalancer.proxy.AttemptTransport;
import loadbalancer.proxy.Dispatcher;
import loadbalancer.proxy.MessageMemory;
import loadbalancer.settings.SettingsReader;

/**
 * A protocol beside HTTP/1.1 that a balancer may be started with. The archive that is deployed contains none, and a
 * balancer without one loads no class of it.
 */
public interface ServerExtension {
    /**
     * What an extension may use of the balancer, all of it on the event loop.
     *
     * @param loop the event loop
     * @param config as the balancer was started
     * @param dispatcher takes clients' requests
     * @param memory the memory of the process for messages in transit
     * @param log takes a line; must not block
     */
    record Lent(EventLoop loop, Config config, Dispatcher dispatcher, MessageMemory memory, Consumer<String> log) {}

    /** The extension in one balancer; all but {@link #listen} is called on the event loop. */
    interface Part {
        /** The transport that attempts use: {@code usual} itself, or one that may hand attempts on to it. */
        AttemptTransport transport(AttemptTransport usual);

        /**
         * Starts to listen; not for the loop's thread.
         *
         * @return the address in use, or null where it has no listener
         * @throws IOException if the address can't be listened on
         */
        InetSocketAddress listen() throws IOException;

        /** What responses over HTTP/1.1 say of this listener (Alt-Svc, RFC 7838); null: nothing. */
        String advertisement(InetSocketAddress at);

        /** Sends requests of its own before clients arrive; runs {@code done} once, however they went. */
        void warmUp(InetSocketAddress at, Runnable done);

        /** The balancer serves clients from here on. */
        void ready();

        /** Takes over the certificates of a reloaded configuration. */
        void reloadCertificates(Config fresh);

        /** Takes over reloaded settings. */
        void reload(SettingsReader.Boot to);

        /** The balancer is about to stop or to be evacuated: clients are notified. */
        void stopping();

        /** The number of requests that have been received in part. */
        int partialRequests();

        /** Refuses the requests that have been received in part. */
        void refusePartialRequests();

        /** The number of responses that have not been sent to their clients completely. */
        int unsentResponses();

        /** Accepts nothing more. */
        void close();

        /** All requests have been answered: closes what is open. */
        void end();
    }

    /** Creates the extension's part in a balancer; null where the configuration doesn't ask for it. */
    Part of(Lent server);
}
