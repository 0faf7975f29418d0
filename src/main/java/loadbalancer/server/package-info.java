/**
 * The composition root: puts one balancer together and owns its start, configuration reload, hot restart and shutdown.
 *
 * <ul>
 *   <li>{@link loadbalancer.server.LoadBalancerServer}: the assembled process and the {@code serve} command;
 *   <li>{@code ClassPreloader}: classes that can be used when no file descriptor is free;
 *   <li>{@code ServerStartup}: listeners first, then the warm-up, on the loop;
 *   <li>{@code ReadinessTracker}: when the process serves clients;
 *   <li>{@code ConfigurationReload}: takes over a replaced configuration;
 *   <li>{@code HotRestartCoordinator}: what is shared with, and handed over to, a successor;
 *   <li>{@code GracefulShutdown}: from SIGTERM to the end of the process.
 * </ul>
 *
 * <p>Unless a method says otherwise, everything runs on the balancer's single event loop.
 */
package loadbalancer.server;
