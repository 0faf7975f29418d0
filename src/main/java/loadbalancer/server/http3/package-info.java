/** HTTP/3 as an extension of a balancer: listening, warm-up, reload and stop, as the composition root calls them. */
package loadbalancer.server.http3;
