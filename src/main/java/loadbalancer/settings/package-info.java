/**
 * Settings of the load-balancing policy: their reader from {@code path=value} pairs, which the simulator's wire and
 * the configuration file of a balancer share, and the reader of the servers' load reports.
 *
 * <p>Uses {@link loadbalancer.policy} alone. Does no I/O.
 */
package loadbalancer.settings;
