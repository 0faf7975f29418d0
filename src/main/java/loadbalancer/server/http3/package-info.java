/** HTTP/3 as an extension of a balancer: what the composition root needs to listen, warm up, reload and stop with it. */
package loadbalancer.server.http3;
