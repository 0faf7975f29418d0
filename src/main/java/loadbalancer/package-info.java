/** The entry point of the load balancer: see the packages for its parts. */
package loadbalancer;
