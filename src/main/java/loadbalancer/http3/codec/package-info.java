/** What the downstream and the upstream side of HTTP/3 share of Netty's codec. All of it runs on the event loop. */
package loadbalancer.http3.codec;
