/**
 * Client connections over HTTP/1.1 (RFC 9112) and HTTP/1.0. {@link loadbalancer.downstream.http1.Http1Listener} accepts
 * connections. Each {@code Http1ClientConnection} decodes its requests in order, passes them to
 * {@code Http1RequestHandler}, which dispatches them, and writes exactly one final response to each. All of it runs on
 * the event loop.
 */
package loadbalancer.downstream.http1;
