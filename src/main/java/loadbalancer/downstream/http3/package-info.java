/**
 * Clients over HTTP/3 (RFC 9114) on QUIC (RFC 9000). {@link loadbalancer.downstream.http3.Http3Listener} owns the one
 * UDP socket; each {@code Http3ClientConnection} is a QUIC connection and each {@code Http3RequestStream} one request
 * with its one final response. All of it runs on the event loop.
 */
package loadbalancer.downstream.http3;
