/**
 * The command line of the whole product: serving, checking a configuration, the operators' calls to a running
 * balancer, and the runs of the testbed.
 */
package loadbalancer.cli;
