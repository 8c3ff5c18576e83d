package io.masticpond.core.lookup;

import io.masticpond.core.configuration.ClientBlock;

/**
 * Immutable sorted array of the blocks of one address family, stored in flat arrays.
 *
 * <p>Blocks are nested or disjoint and never overlap otherwise. So the last block that starts at or
 * before an address is inside every block that contains the address, and the longest match is found
 * by following the links to the enclosing blocks from there.
 */
final class BlockArray {

    /** Marker for no index. */
    static final int NONE = -1;

    static final BlockArray EMPTY =
            new BlockArray(new long[0], new long[0], new byte[0], new short[0]);

    private static final int MAXIMUM_DEPTH = 130;
    private static final int BUCKET_BITS = 16;
    private static final int BYTE_MASK = 0xff;
    private static final int SHORT_MASK = 0xffff;
    private static final int BYTES_PER_BLOCK = Long.BYTES + 1 + Short.BYTES + Integer.BYTES;

    private final long[] mHighs;

    /** Last 64 bits of each block; empty if they are 0 for every block. */
    private final long[] mLows;

    private final byte[] mLengths;
    private final short[] mSites;

    /** Index of the smallest enclosing block, or {@link #NONE}. */
    private final int[] mEnclosing;

    /**
     * Start index of the blocks with the same first bits; small enough for the processor's cache.
     */
    private final int[] mBuckets;

    /**
     * Creates a block array from sorted arrays, which must not be changed afterwards.
     *
     * @param highs the first 64 bits of each block
     * @param lows the last 64 bits of each block, or an empty array if all are 0
     * @param lengths the prefix length of each block
     * @param sites the site number of each block
     */
    BlockArray(long[] highs, long[] lows, byte[] lengths, short[] sites) {
        mHighs = highs;
        mLows = lows;
        mLengths = lengths;
        mSites = sites;
        mEnclosing = linkEnclosing();
        mBuckets = countBuckets(highs);
    }

    int size() {
        return mHighs.length;
    }

    long bytes() {
        long buckets = (long) mBuckets.length * Integer.BYTES;
        return (long) size() * BYTES_PER_BLOCK + (long) mLows.length * Long.BYTES + buckets;
    }

    long high(int index) {
        return mHighs[index];
    }

    long low(int index) {
        return mLows.length == 0 ? 0 : mLows[index];
    }

    int length(int index) {
        return mLengths[index] & BYTE_MASK;
    }

    int site(int index) {
        return mSites[index] & SHORT_MASK;
    }

    /**
     * Returns the smallest block that contains an address or block.
     *
     * @return the index of the block, or {@link #NONE}
     */
    int find(long high, long low, int length) {
        int index = lastStartingUpTo(high, low);
        while (index != NONE && !contains(index, high, low, length)) {
            index = mEnclosing[index];
        }
        return index;
    }

    /**
     * Returns the position of a block, or the position at which it would be inserted.
     *
     * @return the index of the first block that is not ordered before it
     */
    int lowerBound(ClientBlock block) {
        int from = 0;
        int to = size();
        while (from < to) {
            int middle = (from + to) >>> 1;
            if (compare(middle, block.high(), block.low(), block.length()) < 0) {
                from = middle + 1;
            } else {
                to = middle;
            }
        }
        return from;
    }

    boolean isAt(int index, ClientBlock block) {
        return index < size() && compare(index, block.high(), block.low(), block.length()) == 0;
    }

    private int lastStartingUpTo(long high, long low) {
        int bucket = bucket(high);
        int from = mBuckets[bucket];
        int to = mBuckets[bucket + 1];
        while (from < to) {
            int middle = (from + to) >>> 1;
            if (ClientBlock.compare(high(middle), low(middle), high, low) <= 0) {
                from = middle + 1;
            } else {
                to = middle;
            }
        }
        return from - 1;
    }

    private static int bucket(long high) {
        return (int) (high >>> (Long.SIZE - BUCKET_BITS));
    }

    /** Returns the number of blocks before each bucket, with one more entry at the end. */
    private static int[] countBuckets(long[] highs) {
        int[] starts = new int[(1 << BUCKET_BITS) + 1];
        int next = 0;
        for (int bucket = 0; bucket < starts.length; bucket++) {
            while (next < highs.length && bucket(highs[next]) < bucket) {
                next++;
            }
            starts[bucket] = next;
        }
        return starts;
    }

    /** Appends the blocks from a start index to an end index, exclusive, to a builder. */
    void copyTo(BlockArrayBuilder builder, int start, int end) {
        builder.addAll(mHighs, mLows, mLengths, mSites, start, end);
    }

    boolean hasLows() {
        return mLows.length > 0;
    }

    private boolean contains(int index, long high, long low, int length) {
        return length(index) <= length
                && ClientBlock.contains(high(index), low(index), length(index), high, low);
    }

    private int compare(int index, long high, long low, int length) {
        int order = ClientBlock.compare(high(index), low(index), high, low);
        return order != 0 ? order : Integer.compare(length(index), length);
    }

    private int[] linkEnclosing() {
        int[] enclosing = new int[size()];
        int[] enclosingStack = new int[MAXIMUM_DEPTH];
        int depth = 0;
        for (int i = 0; i < enclosing.length; i++) {
            while (depth > 0 && !contains(enclosingStack[depth - 1], high(i), low(i), length(i))) {
                depth--;
            }
            enclosing[i] = depth == 0 ? NONE : enclosingStack[depth - 1];
            enclosingStack[depth++] = i;
        }
        return enclosing;
    }
}
