/**
 * The life cycle of a process: readiness, evacuation, graceful shutdown and hot restart.
 *
 * <p>{@link loadbalancer.lifecycle.LifeCycle}, {@link loadbalancer.lifecycle.ShutdownDrain} and {@link
 * loadbalancer.lifecycle.HotRestart} do no I/O and use no clock; {@link
 * loadbalancer.lifecycle.HotRestartChannel} exchanges the messages between the two processes of a hot restart.
 * All objects of this package are confined to the event loop's thread.
 */
package loadbalancer.lifecycle;
