package io.masticpond.daemon.caller;

import io.masticpond.core.id.RequestId;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Generator of request ids that are unique among the requests of all instances.
 *
 * @since 0.1
 */
public final class RequestIdGenerator {

    private static final int RADIX = 36;

    private final String mPrefix;
    private final AtomicLong mNext = new AtomicLong();

    /**
     * Creates a source of ids.
     *
     * @param processNumber a random number that distinguishes this run of this process from all
     *     others
     */
    public RequestIdGenerator(long processNumber) {
        mPrefix = Long.toUnsignedString(processNumber, RADIX) + "-";
    }

    /**
     * Returns the next id.
     *
     * @return the id
     */
    public RequestId next() {
        return new RequestId(mPrefix + Long.toString(mNext.getAndIncrement(), RADIX));
    }
}
