/**
 * The configuration of a balancer, whichever form it was written in: the record, its reader from environment variables
 * and a JSON file, and the rules for what may change at a reload.
 *
 * <p>Reading does blocking file I/O; the record and the rules of a reload are immutable or stateless, and any thread
 * may use them. The operators' TOML file is read by {@link loadbalancer.config.toml}.
 */
package loadbalancer.config;
