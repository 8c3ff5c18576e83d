package io.masticpond.entry.backend;

import io.masticpond.core.body.ResponseBytes;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.CompositeByteBuf;

/**
 * Body of a response that holds bytes of the body budget. They are released with the last reference
 * to the buffer, so that every way in which a response ends releases them exactly once.
 */
final class HeldBody extends CompositeByteBuf {

    private final ResponseBytes mBytes;

    HeldBody(ByteBufAllocator allocator, ResponseBytes bytes) {
        super(allocator, true, Integer.MAX_VALUE);
        mBytes = bytes;
    }

    @Override
    protected void deallocate() {
        super.deallocate();
        mBytes.release();
    }
}
