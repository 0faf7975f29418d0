/**
 * A process's life: readiness, evacuation, graceful shutdown and hot restart.
 *
 * <p>{@link loadbalancer.lifecycle.LifeCycle}, {@link loadbalancer.lifecycle.ShutdownDrain} and {@link
 * loadbalancer.lifecycle.HotRestart} decide without I/O and without a clock; {@link
 * loadbalancer.lifecycle.HotRestartChannel} carries the messages between the two processes of a hot restart.
 * Everything here belongs to one thread, the event loop's.
 */
package loadbalancer.lifecycle;
