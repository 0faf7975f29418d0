package loadbalancer.testbed;

/** The paths that requests of a benchmark take, in the order in which they are measured. */
enum BenchmarkPath {
    /** From the clients straight to the servers. */
    DIRECT("direct"),
    /** Through a bare {@link PassThrough}. */
    BARE("bare"),
    /** Through the load balancer. */
    BALANCER("balancer");

    private final String label;

    BenchmarkPath(String label) {
        this.label = label;
    }

    /** Its name in tables and in the JSON file. */
    String label() {
        return label;
    }
}
