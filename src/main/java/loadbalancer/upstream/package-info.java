/** What the upstream transports of all protocols share; the transports themselves are one package each. */
package loadbalancer.upstream;
