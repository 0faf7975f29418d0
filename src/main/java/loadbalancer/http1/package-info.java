/**
 * HTTP/1.1 rules that the downstream and the upstream side share: bodies that are streamed within a bounded
 * window, and header fields. All of it runs on the event loop.
 */
package loadbalancer.http1;
