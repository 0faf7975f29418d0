package loadbalancer.server;

import org.junit.jupiter.api.AfterEach;

/** A balancer before an upstream that speaks HTTP/3. */
abstract class Http3UpstreamFixture extends Http3Fixture {
    static final int HANDSHAKE_MICROS = 15_000_000;

    Http3StandInServer server;

    // A handshake takes longer than the usual connect timeout on a busy machine: HTTP/1.1 would stand in.
    void startWithServer(int allowed) throws Exception {
        connect = HANDSHAKE_MICROS;
        server = new Http3StandInServer(THEIRS, 0, allowed);
        http3 = server.address();
        start();
    }

    @AfterEach
    void closeServer() {
        if (server != null) {
            server.close();
        }
    }

    static Client plain(ServerFixture f, String id) throws Exception {
        return new Client(f.at)
                .send(post("book", "Req-Deadline-Ms: 20000\r\n", "seat").replace("Req-Id: r1", "Req-Id: " + id));
    }
}
