/**
 * Attempts over HTTP/1.1. {@link loadbalancer.upstream.http1.Http1ConnectionPool} keeps the upstreams of the
 * endpoint list and their idle connections, and picks the connection of each attempt;
 * {@code Http1UpstreamConnection} sends one request at a time and reads its response through
 * {@code ResponseDecoder}; {@code Http1Attempt} is one request on its way. The first byte of every attempt
 * passes {@link loadbalancer.proxy.SendGuard}. All of it runs on the event loop.
 */
package loadbalancer.upstream.http1;
