/**
 * Settings of the load-balancing policy: the reader of settings from {@code path=value} pairs, which is shared by the
 * simulator's wire protocol and the configuration file of a balancer, and the reader of the servers' load reports.
 *
 * <p>Depends only on {@link loadbalancer.policy}. Does no I/O.
 */
package loadbalancer.settings;
