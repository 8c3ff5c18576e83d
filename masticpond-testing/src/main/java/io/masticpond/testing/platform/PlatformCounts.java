package io.masticpond.testing.platform;

import java.util.Map;

/**
 * Number of calls to a stand-in platform.
 *
 * @param calls number of calls by kind; kinds without calls are absent
 * @param fates number of calls by disposition; dispositions without calls are absent
 * @since 0.1
 */
public record PlatformCounts(
        Map<PlatformCall, Long> calls, Map<PlatformCallDisposition, Long> fates) {

    /**
     * Returns the number of calls of all kinds.
     *
     * @return number of calls
     */
    public long total() {
        return calls.values().stream().mapToLong(Long::longValue).sum();
    }

    /**
     * Returns the number of calls of one kind.
     *
     * @param call the kind
     * @return number of calls
     */
    public long of(PlatformCall call) {
        return calls.getOrDefault(call, 0L);
    }
}
