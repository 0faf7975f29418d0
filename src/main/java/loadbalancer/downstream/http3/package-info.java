/**
 * Client connections over HTTP/3 (RFC 9114) on QUIC (RFC 9000). {@link loadbalancer.downstream.http3.Http3Listener}
 * owns the only UDP socket; each {@code Http3ClientConnection} is one QUIC connection, and each
 * {@code Http3RequestStream} is one request with its final response. All of it runs on the event loop.
 */
package loadbalancer.downstream.http3;
