/**
 * Clients over HTTP/1.1 (RFC 9112) and HTTP/1.0. {@link loadbalancer.downstream.http1.Http1Listener} accepts
 * connections; each {@code Http1ClientConnection} decodes its requests one after the other, hands them to
 * {@code Http1RequestHandler}, which dispatches them, and writes the one final response of each. All of it runs on
 * the event loop.
 */
package loadbalancer.downstream.http1;
