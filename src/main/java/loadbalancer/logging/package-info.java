/**
 * The log of the program, in lines of the form {@code event=snake_case key=value ...}. The lines are written by a
 * separate thread, so that a blocked standard error never stalls an event loop. A bridge forwards Netty's own warnings
 * and errors to the log.
 *
 * <p>Uses no other package of the program. All public classes may be used from any thread.
 */
package loadbalancer.logging;
