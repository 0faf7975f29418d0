package loadbalancer.testbed;

/** One request at a box, by whatever protocol: how it is answered, or ended without an answer. */
interface ServerExchange {
    /** {@code unseen}: turned away before any work. */
    void answer(int status, String text, boolean unseen);

    void reset();
}
