package loadbalancer.testbed;

import java.util.List;
import loadbalancer.testbed.fleet.Fault;

/**
 * The plan of a {@link FleetRun}: many balancers in front of the servers of a scenario, whose rate is that of the
 * whole fleet. Does no I/O.
 *
 * @param wave processes that are started at the same time; the next wave follows when these are ready
 * @param uneven standard deviation of the logarithm of a balancer's share of the load; 0: all get the same
 * @param settleMicros between the last process's readiness and the load
 */
record FleetRunPlan(Scenario scenario, int processes, int wave, double uneven, long settleMicros, List<Fault> faults) {}
