package io.masticpond.core.request;

import io.masticpond.core.id.RequestId;
import io.masticpond.core.id.ServiceId;
import io.masticpond.core.support.Assert;

/**
 * Metadata of a request on which decisions are based. The body remains where the request is
 * received.
 *
 * @param id the identifier of the request
 * @param service the requested service
 * @param deadlineNanos the time by which the request must be answered, in nanoseconds of {@link
 *     io.masticpond.core.time.TimeSource#monotonicNanos}
 * @param priority the priority from 0 to 9; requests with a higher number are refused later
 * @param kind the effect of repeating the request
 * @since 0.1
 */
public record RequestHead(
        RequestId id, ServiceId service, long deadlineNanos, int priority, OperationKind kind) {

    /** The highest priority. */
    public static final int MAXIMUM_PRIORITY = 9;

    /**
     * Validates the components.
     *
     * @throws IllegalArgumentException if a part is missing or the priority is out of range
     */
    public RequestHead {
        Assert.notNull(id, "A request id");
        Assert.notNull(service, "A service id");
        Assert.notNull(kind, "An operation kind");
        Assert.isTrue(
                priority >= 0 && priority <= MAXIMUM_PRIORITY,
                "A priority must be from 0 to 9, but was %d.",
                priority);
    }
}
