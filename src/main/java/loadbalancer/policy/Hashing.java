package loadbalancer.policy;

/** Hash functions that give the same values on every machine and in every run. */
final class Hashing {
    private Hashing() {}

    /** FNV-1a, then mixed. */
    static long hash(String text) {
        long h = 0xcbf29ce484222325L;
        for (int i = 0; i < text.length(); i++) {
            h = (h ^ text.charAt(i)) * 0x100000001b3L;
        }
        return mix(h);
    }

    /** Spreads near numbers over all 64 bits (the finaliser of SplitMix64). */
    static long mix(long z) {
        z = (z + 0x9e3779b97f4a7c15L ^ z >>> 30) * 0xbf58476d1ce4e5b9L;
        z = (z ^ z >>> 27) * 0x94d049bb133111ebL;
        return z ^ z >>> 31;
    }
}
