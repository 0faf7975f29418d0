/**
 * Attempts over HTTP/3 (RFC 9114). {@link loadbalancer.upstream.http3.Http3AttemptTransport} decides which
 * protocol carries an attempt; {@code Http3Upstream} holds the connections to one upstream as its
 * {@link loadbalancer.http3.Http3ConnectionPlan} wants them; {@code Http3UpstreamConnection} is one QUIC
 * connection, {@code Http3Attempt} one request stream, {@code Http3ResponseDecoder} what comes back on it. The
 * first byte of every attempt passes {@link loadbalancer.proxy.SendGuard}. All of it runs on the event loop.
 */
package loadbalancer.upstream.http3;
