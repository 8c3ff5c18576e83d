package io.masticpond.core.support;

import java.nio.charset.StandardCharsets;
import java.util.zip.CRC32C;

/**
 * Utility class that maps texts to evenly distributed numbers, which are the same at every
 * instance.
 *
 * @since 0.2
 */
public final class HashMixer {

    private static final long MIX_FIRST = 0xbf58476d1ce4e5b9L;
    private static final long MIX_SECOND = 0x94d049bb133111ebL;
    private static final int FRACTION_BITS = 53;
    private static final double FRACTION = 1.0 / (1L << FRACTION_BITS);

    private HashMixer() {}

    /**
     * Returns the hash of a text.
     *
     * @param text the text
     * @return the hash, evenly distributed
     */
    public static long hash(String text) {
        CRC32C checksum = new CRC32C();
        checksum.update(text.getBytes(StandardCharsets.UTF_8));
        return mix(checksum.getValue());
    }

    /**
     * Mixes a number with the finalizer of SplitMix64 (Steele, Lea and Flood, 2014).
     *
     * @param value the number
     * @return the mixed number
     */
    public static long mix(long value) {
        long mixed = (value ^ (value >>> 30)) * MIX_FIRST;
        mixed = (mixed ^ (mixed >>> 27)) * MIX_SECOND;
        return mixed ^ (mixed >>> 31);
    }

    /**
     * Returns an evenly distributed number for a pair of hashes.
     *
     * @param first a hash
     * @param second another hash
     * @return a number from 0 up to but not including 1
     */
    public static double fraction(long first, long second) {
        return (mix(first * MIX_FIRST + second) >>> (Long.SIZE - FRACTION_BITS)) * FRACTION;
    }
}
