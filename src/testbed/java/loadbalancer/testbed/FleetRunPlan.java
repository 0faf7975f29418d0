package loadbalancer.testbed;

import java.util.List;
import loadbalancer.testbed.fleet.Fault;

/**
 * A run of many balancers before the boxes of a scenario, whose rate is that of the whole fleet. No I/O.
 *
 * @param wave processes that are started at once; the next ones when these are ready
 * @param uneven of the logarithm of what a balancer gets
 * @param settle µs between the last one's readiness and the load
 */
record FleetRunPlan(Scenario scenario, int processes, int wave, double uneven, long settle, List<Fault> troubles) {}
