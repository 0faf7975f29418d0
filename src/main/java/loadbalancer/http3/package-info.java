/**
 * HTTP/3 rules that the downstream and the upstream side share (RFC 9114, RFC 9000). All classes here decide
 * without I/O and read no clock; each instance belongs to one thread, as a rule the event loop's. What touches
 * the codec's types is in {@link loadbalancer.http3.codec}.
 */
package loadbalancer.http3;
