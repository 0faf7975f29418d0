/**
 * The simulator's wire protocol: tab-separated messages on standard input, a line each, in batches from {@code TICK}
 * to {@code GO}; the actions of the policies go back in the same form, each batch closed by {@code DONE}.
 *
 * <p>{@link loadbalancer.simulator.SimulatorAdapter} runs the loop; everything else here is package-private: the
 * reading of messages, the endpoint lists, one translation for each event, and the writing of actions. No class of
 * this package may be used by more than one thread. Times on the wire are in µs of the simulator's clock.
 */
package loadbalancer.simulator;
