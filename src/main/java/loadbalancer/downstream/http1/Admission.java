package loadbalancer.downstream.http1;

/** What becomes of a request, by the memory that its head takes. */
enum Admission {
    ACCEPT,
    /** Its content is dropped, and it is rejected when the requests before it have been answered. */
    REJECT_IN_TURN,
    /** It is refused at once, and the connection ends. */
    REFUSE
}
