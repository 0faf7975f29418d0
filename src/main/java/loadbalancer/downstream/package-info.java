/**
 * What the client-facing protocols share: the wording of final responses and how a client's address is counted.
 * The protocols themselves are the packages below, which do not know each other.
 */
package loadbalancer.downstream;
