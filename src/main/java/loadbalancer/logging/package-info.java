/**
 * The program's log: lines {@code event=snake_case key=value ...}, written by one thread of its own so that a blocked
 * standard error never stalls an event loop, and the bridge that takes Netty's own warnings there.
 *
 * <p>Uses no other package of the program. All public classes may be used from any thread.
 */
package loadbalancer.logging;
