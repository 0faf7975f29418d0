package loadbalancer.policy;

/** Hash functions with the same values on every machine and in every run. */
public final class Hashing {
    private Hashing() {}

    /** FNV-1a, followed by {@link #mix}. */
    public static long hash(String text) {
        long hash = 0xcbf29ce484222325L;
        for (int i = 0; i < text.length(); i++) {
            hash = (hash ^ text.charAt(i)) * 0x100000001b3L;
        }
        return mix(hash);
    }

    /** Spreads adjacent numbers over all 64 bits (the finalizer of SplitMix64). */
    static long mix(long value) {
        value = (value + 0x9e3779b97f4a7c15L ^ value >>> 30) * 0xbf58476d1ce4e5b9L;
        value = (value ^ value >>> 27) * 0x94d049bb133111ebL;
        return value ^ value >>> 31;
    }
}
