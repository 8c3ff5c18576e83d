package io.masticpond.testing.backend;

import io.netty.buffer.ByteBufUtil;
import io.netty.channel.Channel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.util.concurrent.Future;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/** Request at a stand-in backend server until its response. Confined to the event loop. */
final class Exchange {

    private static final long NO_DEADLINE = Long.MAX_VALUE;

    private final Channel mChannel;
    private final String mRequestId;
    private final String mOperationId;
    private final String mTarget;
    private final String mDigest;
    private final long mDeadlineNanos;
    private Future<?> mWork;
    private boolean mEnded;
    private int mExecution;

    Exchange(Channel channel, FullHttpRequest request, long nowNanos) {
        mChannel = channel;
        mRequestId = request.headers().get(BackendHeaders.REQUEST_ID);
        mOperationId = request.headers().get(BackendHeaders.OPERATION_ID);
        mTarget = request.method() + " " + request.uri();
        mDigest = digest(ByteBufUtil.getBytes(request.content()));
        mDeadlineNanos = deadline(request.headers().get(BackendHeaders.DEADLINE), nowNanos);
    }

    /**
     * Computes the digest that the response echoes.
     *
     * @param body body of a request
     * @return SHA-256 as hexadecimal digits
     */
    static String digest(byte[] body) {
        try {
            return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(body));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("SHA-256 is not available.", e);
        }
    }

    Channel channel() {
        return mChannel;
    }

    String requestId() {
        return mRequestId;
    }

    String operationId() {
        return mOperationId;
    }

    String target() {
        return mTarget;
    }

    String digest() {
        return mDigest;
    }

    int execution() {
        return mExecution;
    }

    boolean isPastDeadline(long nowNanos) {
        return mDeadlineNanos != NO_DEADLINE && nowNanos - mDeadlineNanos > 0;
    }

    boolean isRunning() {
        return mWork != null && !mEnded;
    }

    boolean isEnded() {
        return mEnded;
    }

    void run(int execution, Future<?> work) {
        mExecution = execution;
        mWork = work;
    }

    /** Ends the exchange and cancels its work; returns false if it had ended before. */
    boolean end() {
        if (mEnded) {
            return false;
        }
        mEnded = true;
        if (mWork != null) {
            mWork.cancel(false);
        }
        return true;
    }

    private static long deadline(String header, long nowNanos) {
        if (header == null) {
            return NO_DEADLINE;
        }
        try {
            return nowNanos + Long.parseLong(header) * BackendHeaders.NANOS_PER_MILLI;
        } catch (NumberFormatException e) {
            return NO_DEADLINE;
        }
    }
}
