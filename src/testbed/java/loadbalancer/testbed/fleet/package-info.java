/**
 * Single processes of the program among several, the sockets of their clients, and the figures of a fleet of
 * them: how load is shared out, how evenly servers were used, and which processes a fault affects.
 */
package loadbalancer.testbed.fleet;
