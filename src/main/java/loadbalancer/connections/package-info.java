/**
 * The connection budget: how many connections clients and upstreams may hold together, which of them may stay open
 * after a response, for how long they may be idle, and which are closed when capacity is needed.
 *
 * <p>The package decides only. It does no I/O, reads no clock and starts no thread: the owners of the connections
 * report what happens to them, pass the time, and close those that the budget names.
 */
package loadbalancer.connections;
