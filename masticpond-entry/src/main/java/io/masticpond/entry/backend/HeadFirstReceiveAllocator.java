package io.masticpond.entry.backend;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.RecvByteBufAllocator;
import java.util.function.BooleanSupplier;

/**
 * Allocator of receive buffers that are small until the head of an answer has been received. What
 * is read together with a head is in memory before the body budget can be asked for room; with
 * buffers of up to 64 KB, 1,000 waiting answers of 90 KB held 62 MB.
 */
final class HeadFirstReceiveAllocator implements RecvByteBufAllocator {

    private static final int HEAD_BYTES = 2048;

    private final RecvByteBufAllocator mBodies = new AdaptiveRecvByteBufAllocator();
    private final BooleanSupplier mIsReadingBody;

    /**
     * Creates an allocator for one connection.
     *
     * @param isReadingBody returns whether the head of an answer has been received
     */
    HeadFirstReceiveAllocator(BooleanSupplier isReadingBody) {
        mIsReadingBody = isReadingBody;
    }

    @Override
    public Handle newHandle() {
        return new DelegatingHandle(mBodies.newHandle()) {
            @Override
            public ByteBuf allocate(ByteBufAllocator allocator) {
                return mIsReadingBody.getAsBoolean()
                        ? super.allocate(allocator)
                        : allocator.ioBuffer(HEAD_BYTES);
            }

            @Override
            public int guess() {
                return mIsReadingBody.getAsBoolean() ? super.guess() : HEAD_BYTES;
            }
        };
    }
}
