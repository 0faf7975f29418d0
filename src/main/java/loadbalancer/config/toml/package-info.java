/**
 * The operators' TOML file (docs/configuration.md), read into the same {@link loadbalancer.config.Config} as the
 * environment variables are. {@link loadbalancer.config.toml.ConfigFile} reads the file, with a class for each larger
 * table; {@link loadbalancer.config.toml.Table} checks single values and is used for the testbed's scenarios as well.
 *
 * <p>One reading finds every problem: a malformed value is noted in {@link loadbalancer.config.toml.Problems} with its
 * line, and a usable one stands in for it. For one thread.
 */
package loadbalancer.config.toml;
