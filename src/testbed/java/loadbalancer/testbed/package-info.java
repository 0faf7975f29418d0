/**
 * The testbed: stand-in servers and discovery on loopback sockets, clients with open arrivals, faults from a
 * seed, and a ledger that finds broken rules; with it, demos, benchmarks and runs of many processes.
 *
 * <p>{@link loadbalancer.testbed.Demo}, {@link loadbalancer.testbed.Benchmark},
 * {@link loadbalancer.testbed.FleetRun}, {@link loadbalancer.testbed.FaultSoak},
 * {@link loadbalancer.testbed.PausedProcesses} and {@link loadbalancer.testbed.DepartedClients} are runs; the
 * command line and the tests start them. Times are in µs unless a name says otherwise.
 */
package loadbalancer.testbed;
