package loadbalancer.http1;

/** How much of a connection may be read, by the memory that its bytes take. To be used on the event loop. */
public interface ReadLimit {
    /** Returns how many bytes may be read now; 0 if none may. */
    int maxReadBytes();

    /** Runs {@code resume} once more may be read; called where reading stops because nothing may. */
    void awaitMemory(Runnable resume);
}
