package loadbalancer.downstream.http1;

import io.netty.handler.codec.http.HttpRequest;
import loadbalancer.proxy.BodyStream;

/**
 * A request that can be served.
 *
 * @param head the request line and fields
 * @param body the complete body, or the first bytes of a streamed one
 * @param bodyStream what follows behind {@code body}; null where the body is complete
 * @param length bytes of the complete body; -1 if unknown
 */
record ReceivedRequest(HttpRequest head, byte[] body, BodyStream bodyStream, long length) {}
