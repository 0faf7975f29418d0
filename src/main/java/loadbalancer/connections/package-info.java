/**
 * The connection budget: how many connections clients and upstreams may hold together, which of them may stay open
 * after a response, how long they may be idle, and which are closed when capacity is needed.
 *
 * <p>The package does no I/O, reads no clock and starts no thread: the holders of the connections report events, pass
 * the current time, and close the connections that the budget selects.
 */
package loadbalancer.connections;
