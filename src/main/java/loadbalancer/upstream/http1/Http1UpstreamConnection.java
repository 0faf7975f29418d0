package loadbalancer.upstream.http1;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelException;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.handler.codec.http.HttpRequestEncoder;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.util.function.Supplier;
import loadbalancer.connections.ConnectionPermit;
import loadbalancer.connections.IdleTimeout;
import loadbalancer.http1.BodyWriter;
import loadbalancer.policy.Policy.Outcome;
import loadbalancer.proxy.DrainGrace;
import loadbalancer.proxy.SendGuard;
import loadbalancer.proxy.SendPermit;
import loadbalancer.proxy.UpstreamResponse;
import loadbalancer.upstream.HealthCheck;

/** One connection to an upstream; it carries one attempt at a time. On the event loop. */
final class Http1UpstreamConnection implements ResponseDecoder.Listener {
    /** What the connection is at. Whether it has been closed its channel knows. */
    private enum State {
        /** Dialled for an attempt, and never idle so far. */
        CONNECTING,
        /** Open, and without an attempt. */
        IDLE,
        /** Open, and taken for an attempt of which nothing has been written. */
        RESERVED,
        /** Some of the request may have been written. */
        SENDING,
        /** All of the request has been written. */
        SENT
    }

    private final Http1ConnectionPool pool;
    private final Http1Upstream upstream;
    private final InetSocketAddress endpoint;
    private final ResponseDecoder responseDecoder;
    private final ConnectionPermit permit;
    private Channel channel;
    private Http1Attempt attempt; // null where it has none, or no longer
    private State state = State.CONNECTING;
    private long idleSinceMicros;

    Http1UpstreamConnection(Http1ConnectionPool pool, Http1Upstream upstream) {
        this.pool = pool;
        this.responseDecoder = new ResponseDecoder(this, pool.memory);
        this.upstream = upstream;
        this.endpoint = upstream.endpoint();
        this.permit = pool.budget.openUpstream(this::close, System.nanoTime());
    }

    // ---------------------------------------------------------------- connecting and reuse

    /**
     * Connects, and then starts {@code next}.
     *
     * @param newSocket creates the connection's socket; throws ChannelException where there is none, as for want of
     *     descriptors
     * @param address where the upstream listens
     */
    void connect(Bootstrap bootstrap, Supplier<Channel> newSocket, SocketAddress address, Http1Attempt next) {
        attempt = next;
        next.assignTo(this);
        // Not by the bootstrap: it reports a socket that can't be created on another thread, and its channel never
        // closes.
        Channel socket;
        try {
            socket = newSocket.get();
        } catch (ChannelException e) {
            pool.loop.execute(this::socketFailed);
            return;
        }
        channel = socket;
        ChannelFuture connected = bootstrap
                .clone()
                .channelFactory(() -> socket)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel opened) {
                        opened.pipeline()
                                .addLast(
                                        pool.receiveBuffer.attach(opened, responseDecoder),
                                        new HttpRequestEncoder(),
                                        responseDecoder.messageDecoder(),
                                        responseDecoder);
                    }
                })
                .connect(address);
        channel.closeFuture().addListener(closed -> onClosed());
        connected.addListener(done -> {
            if (!done.isSuccess()) {
                endAttempt(Outcome.CONNECT_FAILED);
                channel.close();
            } else {
                startAfterUpdates();
            }
        });
    }

    // The balancer lacks descriptors: no failure of that upstream's, and nothing has run.
    private void socketFailed() {
        pool.budget.closed(permit, System.nanoTime());
        endAttempt(Outcome.NOT_SENT);
    }

    /** Starts {@code next} on this connection, which has been taken from the idle ones. */
    void reuse(Http1Attempt next) {
        state = State.RESERVED;
        attempt = next;
        next.assignTo(this);
        startAfterUpdates();
    }

    boolean isSettled() {
        return pool.idleTimeout().isPastUnsolicitedResponseWait(pool.clock.now() - idleSinceMicros);
    }

    boolean isUsable() {
        return channel.isActive() && pool.idleTimeout().isUsable(pool.clock.now() - idleSinceMicros);
    }

    /** Whether it is to be closed, where {@code others} that were used later are idle besides. */
    boolean isExpired(IdleTimeout timeout, long nowMicros, int others) {
        return !channel.isActive() || timeout.isExpired(nowMicros - idleSinceMicros, others);
    }

    private void becomeIdle() {
        state = State.IDLE;
        idleSinceMicros = pool.clock.now();
        // Another address now: who listens at the old one is another upstream, if any.
        if (upstream.stopAtMicros() < DrainGrace.NEVER || !endpoint.equals(upstream.endpoint())) {
            close();
        } else {
            upstream.addIdle(this);
            pool.budget.becameIdle(permit, System.nanoTime());
        }
    }

    // ---------------------------------------------------------------- sending

    // Behind this pass over the sockets, in which the end of this connection may lie, and behind updates of
    // the endpoint list where the event loop has stalled since the policy decided; never from within a read of
    // a client's connection.
    private void startAfterUpdates() {
        pool.loop.execute(() -> pool.updates.runAfterUpdates(this::start));
    }

    // The connection is open, and updates of the endpoint list have been read.
    private void start() {
        if (!channel.isActive()) {
            return; // closed meanwhile, and onClosed() has ended the attempt
        }
        if (attempt == null) {
            becomeIdle(); // its attempt was cancelled meanwhile: the handshake has been paid for
            return;
        }
        if (attempt.isBodyTaken()) {
            endAttempt(Outcome.NOT_SENT);
            becomeIdle();
            return;
        }
        SendPermit sendPermit = decide();
        if (!channel.isActive()) {
            return;
        }
        if (attempt != null && sendPermit.granted()) {
            attempt.listener().sending();
            write(attempt, sendPermit);
        } else {
            endAttempt(sendPermit.refusal());
            becomeIdle(); // closes it where its upstream drains or has moved
        }
    }

    // Looking at the client's connection may withdraw the attempt.
    private SendPermit decide() {
        long awaitedUntilMicros = attempt.listener().awaitedUntilMicros();
        long startBeforeMicros = attempt == null ? Long.MIN_VALUE : attempt.startBeforeMicros();
        return SendGuard.decide(
                pool.clock.now(),
                awaitedUntilMicros,
                startBeforeMicros,
                upstream.stopAtMicros(),
                !endpoint.equals(upstream.endpoint()),
                pool.updates.unreadDrainDeadlineMicros());
    }

    private void write(Http1Attempt next, SendPermit sendPermit) {
        next.assignTo(this);
        state = State.SENDING;
        pool.budget.requestReceived(permit, System.nanoTime());
        responseDecoder.expectResponse();
        if (next.hasStreamedBody()) {
            writeStreamed(next, sendPermit);
            return;
        }
        ChannelFuture written = channel.write(next.encode(endpoint));
        if (flushWithin(sendPermit)) {
            sentWhen(written, next);
        }
    }

    // The last byte is that of the last piece.
    private void writeStreamed(Http1Attempt next, SendPermit sendPermit) {
        BodyWriter writer = new BodyWriter(channel, next.request().remainingBody());
        writer.begin(next.encode(endpoint), next.request().body());
        if (flushWithin(sendPermit) && attempt == next) { // else the connection broke at its first bytes
            next.request().remainingBody().subscribe(new StreamedRequestBody(this, next, writer));
        }
    }

    // Flushes what has been encoded, unless the process was stopped for too long since the permit: then
    // nothing of it is written, and the attempt starts anew behind updates of the endpoint list.
    private boolean flushWithin(SendPermit sendPermit) {
        if (pool.clock.now() < sendPermit.expiresAtMicros()) {
            limitNextWrite(sendPermit.expiresAtMicros(), attempt);
            channel.flush();
            return true;
        }
        Http1Attempt unsent = attempt;
        attempt = null;
        close();
        pool.start(upstream.id(), unsent);
        return false;
    }

    /** The next flush is written before that time, or fails unwritten: the process may be stopped in between. */
    void limitNextWrite(long untilMicros, Http1Attempt next) {
        if (channel instanceof TimedChannel timed) {
            timed.limitNextWrite(untilMicros, next.listener()::sendDelayed);
        }
    }

    /** {@code lastWrite} holds the last byte of the request. */
    void sentWhen(ChannelFuture lastWrite, Http1Attempt next) {
        lastWrite.addListener(done -> {
            if (attempt != next) {
                return;
            }
            if (done.isSuccess()) {
                state = State.SENT;
            } else {
                endAttempt(Outcome.CONNECT_FAILED);
                close();
            }
        });
    }

    /** Runs {@code task} on the event loop, behind what is under way. */
    void executeLater(Runnable task) {
        pool.loop.execute(task);
    }

    /** The client's upload broke off: the request never runs. */
    void abortUpload(Http1Attempt next) {
        if (attempt == next) {
            endAttempt(Outcome.NOT_SENT);
            close();
        }
    }

    boolean carries(Http1Attempt other) {
        return attempt == other;
    }

    /** Whether the last byte of the request has been written. */
    boolean hasSentRequest() {
        return state == State.SENT;
    }

    // ---------------------------------------------------------------- responses

    @Override
    public void onResponseProgress() {
        if (attempt != null) {
            attempt.listener().responseProgress();
        }
    }

    /** Whether a response of unknown length has begun that is not complete. */
    boolean responseMayBeLong() {
        return hasSentRequest() && responseDecoder.isLengthOpen();
    }

    /** Passes on what has been received of a response of unknown length; false if there is none. */
    boolean streamPartialResponse() {
        return hasSentRequest() && responseDecoder.startPartialStream();
    }

    @Override
    public boolean mayStream() {
        return attempt != null && attempt.request().acceptsStreamedResponse();
    }

    @Override
    public void onStreamStarted(UpstreamResponse response) {
        if (AttemptOutcomeRules.isForged(response.outcome(), hasSentRequest())) {
            endAttempt(Outcome.RESET);
            close();
            return;
        }
        Http1Attempt answered = attempt;
        attempt = null;
        answered.end(response.outcome(), response, HealthCheck.reportedLoad(response, false));
    }

    @Override
    public void onStreamComplete(boolean reusable) {
        if (hasSentRequest() && reusable) {
            becomeIdle();
        } else {
            close();
        }
    }

    @Override
    public void onResponse(UpstreamResponse response, boolean reusable) {
        if (attempt != null && AttemptOutcomeRules.isForged(response.outcome(), hasSentRequest())) {
            endAttempt(Outcome.RESET);
            close();
            return;
        }
        Http1Attempt answered = attempt;
        attempt = null;
        // Among the idle ones again before the policy is notified: its next attempt may want this connection.
        if (hasSentRequest() && reusable && answered != null) {
            becomeIdle();
        } else {
            close();
        }
        if (answered != null) {
            answered.end(response.outcome(), response, HealthCheck.reportedLoad(response, answered.isHealthCheck()));
        }
    }

    @Override
    public void onMalformed() {
        close(); // onClosed() ends the attempt
    }

    // ---------------------------------------------------------------- ends

    /** Its attempt has been cancelled: closes the connection where that has some of the request. */
    void abandonAttempt() {
        attempt = null;
        if (state == State.SENDING || state == State.SENT) {
            close();
        }
    }

    private void endAttempt(Outcome outcome) {
        Http1Attempt ending = attempt;
        attempt = null;
        if (ending != null) {
            ending.end(outcome);
        }
    }

    void close() {
        upstream.removeIdle(this);
        if (channel != null) { // else its socket could not be created
            channel.close();
        }
    }

    private void onClosed() {
        pool.budget.closed(permit, System.nanoTime());
        upstream.removeIdle(this);
        responseDecoder.onConnectionClosed();
        if (attempt != null && AttemptOutcomeRules.mayMoveToAnotherConnection(isReused(), hasStarted())) {
            Http1Attempt unsent = attempt;
            attempt = null;
            pool.start(upstream.id(), unsent);
        } else {
            endAttempt(AttemptOutcomeRules.onConnectionLost(hasSentRequest()));
        }
    }

    private boolean isReused() {
        return state != State.CONNECTING;
    }

    private boolean hasStarted() {
        return state == State.SENDING || state == State.SENT;
    }
}
