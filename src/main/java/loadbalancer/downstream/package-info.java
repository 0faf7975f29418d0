/**
 * Code that all client-facing protocols share: the content of final responses, and the key under which the connections
 * of a client address are counted. Each protocol has its own subpackage; the subpackages do not depend on each other.
 */
package loadbalancer.downstream;
