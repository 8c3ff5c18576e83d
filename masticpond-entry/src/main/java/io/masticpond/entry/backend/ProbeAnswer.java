package io.masticpond.entry.backend;

import io.masticpond.core.support.Assert;
import io.netty.handler.codec.http.HttpHeaders;

/**
 * Answer of a backend server to a probe.
 *
 * @param status the status code
 * @param headers the headers
 * @param sentNanos the monotonic time at which the probe was sent
 * @since 0.3
 */
public record ProbeAnswer(int status, HttpHeaders headers, long sentNanos) {

    /** Checks that there are headers. */
    public ProbeAnswer {
        Assert.notNull(headers, "Headers");
    }
}
