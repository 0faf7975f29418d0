/**
 * HTTP/1.1 code that the downstream and the upstream side share: streaming of bodies with a bounded write buffer, and
 * header fields. All of it runs on the event loop.
 */
package loadbalancer.http1;
