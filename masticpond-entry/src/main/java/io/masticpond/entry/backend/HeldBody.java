package io.masticpond.entry.backend;

import io.masticpond.core.body.ResponseBytes;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.CompositeByteBuf;

/**
 * Body of a response that holds bytes of the body budget. They are released with the last reference
 * to the buffer, so that every way in which a response ends releases them exactly once.
 */
final class HeldBody extends CompositeByteBuf {

    /** Number of parts that are held without a copy whatever their size. */
    private static final int UNCOPIED_PARTS = 16;

    /** Below this size, a component and the read buffer that it keeps exceed their bytes. */
    private static final int SMALL_PART_BYTES = 1024;

    private static final int COPY_BUFFER_BYTES = 8 * 1024;

    private final ResponseBytes mBytes;
    private long mAppendedBytes;

    /** Small parts that are not a component yet; null if there are none. */
    private ByteBuf mCopies;

    HeldBody(ByteBufAllocator allocator, ResponseBytes bytes) {
        super(allocator, true, Integer.MAX_VALUE);
        mBytes = bytes;
    }

    /**
     * Appends a part, which the caller releases. Behind the first parts, small ones are copied
     * together.
     */
    void append(ByteBuf part) {
        int bytes = part.readableBytes();
        mAppendedBytes += bytes;
        if (bytes >= SMALL_PART_BYTES || numComponents() < UNCOPIED_PARTS) {
            addCopies();
            addComponent(true, part.retain());
            return;
        }
        if (mCopies != null && mCopies.writableBytes() < bytes) {
            addCopies();
        }
        if (mCopies == null) {
            mCopies = alloc().buffer(COPY_BUFFER_BYTES, COPY_BUFFER_BYTES);
        }
        mCopies.writeBytes(part);
    }

    /** Returns the bytes of all parts, also of those that cannot be read yet. */
    long appendedBytes() {
        return mAppendedBytes;
    }

    /** Makes all parts readable. */
    void addCopies() {
        if (mCopies != null) {
            addComponent(true, mCopies);
            mCopies = null;
        }
    }

    @Override
    protected void deallocate() {
        super.deallocate();
        if (mCopies != null) {
            mCopies.release();
            mCopies = null;
        }
        mBytes.release();
    }
}
