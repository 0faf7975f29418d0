package loadbalancer.server;

import io.netty.channel.EventLoop;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.function.Consumer;
import loadbalancer.config.Config;
import loadbalancer.proxy.AttemptTransport;
import loadbalancer.proxy.BodyMemoryBudget;
import loadbalancer.proxy.Dispatcher;
import loadbalancer.settings.SettingsReader;

/**
 * What a node may be given beside HTTP/1.1. The archive that serves on the platform holds none, and a node
 * without one loads nothing of it.
 */
public interface ServerExtension {
    /** What a node lends it, all of it for the event loop's thread; {@code log} must not block. */
    record Lent(EventLoop loop, Config config, Dispatcher dispatcher, BodyMemoryBudget room, Consumer<String> log) {}

    /** What it has become in one node; all but {@link #listen} is called on the event loop. */
    interface Part {
        /** The carrier to use, which may be {@code usual} itself or something in front of it. */
        AttemptTransport transport(AttemptTransport usual);

        /**
         * Listens; not for the loop's thread.
         *
         * @return where, or null where it has no listener
         */
        InetSocketAddress listen() throws IOException;

        /** What answers over HTTP/1.1 say of it (Alt-Svc, RFC 7838); null: nothing. */
        String advertisement(InetSocketAddress at);

        /** Requests of its own before clients come; runs {@code done} once, whether they went well or not. */
        void warmUp(InetSocketAddress at, Runnable done);

        /** The node takes requests from here on. */
        void ready();

        /** Takes over what can change in service. */
        void reloadCertificates(Config fresh);

        /** Other settings hold from here on. */
        void reload(SettingsReader.Boot to);

        /** The node is about to stop: clients are told. */
        void stopping();

        /** Takes nothing more. */
        void close();

        /** All that was taken has been answered. */
        void end();
    }

    /** Null where a configuration doesn't ask for it. Before the loop has begun to work. */
    Part of(Lent lent);
}
