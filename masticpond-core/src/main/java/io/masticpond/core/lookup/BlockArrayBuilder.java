package io.masticpond.core.lookup;

import io.masticpond.core.configuration.ClientBlock;

/** Builder of a {@link BlockArray} from sorted blocks, with a size that is known in advance. */
final class BlockArrayBuilder {

    private final long[] mHighs;
    private final long[] mLows;
    private final byte[] mLengths;
    private final short[] mSites;
    private int mSize;

    /**
     * Creates a builder.
     *
     * @param size the number of blocks
     * @param hasLows whether at least one block has bits set after the first 64
     */
    BlockArrayBuilder(int size, boolean hasLows) {
        mHighs = new long[size];
        mLows = new long[hasLows ? size : 0];
        mLengths = new byte[size];
        mSites = new short[size];
    }

    /** Appends a block, which must be ordered after all previous ones. */
    void add(ClientBlock block, int site) {
        mHighs[mSize] = block.high();
        if (mLows.length > 0) {
            mLows[mSize] = block.low();
        }
        mLengths[mSize] = (byte) block.length();
        mSites[mSize] = (short) site;
        mSize++;
    }

    /** Appends a range of other arrays; an empty array of last 64 bits stands for zeros. */
    void addAll(long[] highs, long[] lows, byte[] lengths, short[] sites, int start, int end) {
        int count = end - start;
        System.arraycopy(highs, start, mHighs, mSize, count);
        if (lows.length > 0) {
            System.arraycopy(lows, start, mLows, mSize, count);
        }
        System.arraycopy(lengths, start, mLengths, mSize, count);
        System.arraycopy(sites, start, mSites, mSize, count);
        mSize += count;
    }

    /** Returns the blocks; the builder must not be used afterwards. */
    BlockArray build() {
        if (mSize != mHighs.length) {
            throw new IllegalStateException("There must be " + mHighs.length + " blocks.");
        }
        return new BlockArray(mHighs, mLows, mLengths, mSites);
    }
}
