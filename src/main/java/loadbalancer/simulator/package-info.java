/**
 * The simulator's wire protocol: tab-separated messages on standard input, one per line, in batches from {@code TICK}
 * to {@code GO}; the actions of the policies are written in the same form, each batch ended by {@code DONE}.
 *
 * <p>{@link loadbalancer.simulator.SimulatorAdapter} runs the loop; everything else here is package-private: the reader
 * of messages, the endpoint lists, one translation per event, and the writer of actions. No class of this package may
 * be used by more than one thread. Times in the wire protocol are in µs of the simulator's clock.
 */
package loadbalancer.simulator;
