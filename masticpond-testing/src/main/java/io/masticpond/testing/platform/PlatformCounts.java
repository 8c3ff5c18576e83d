package io.masticpond.testing.platform;

import java.util.Map;

/**
 * How many calls a stand-in platform has got.
 *
 * @param calls the calls by kind; a kind without calls is missing
 * @param fates the calls by what became of them; a fate without calls is missing
 * @since 0.1
 */
public record PlatformCounts(
        Map<PlatformCall, Long> calls, Map<PlatformCallDisposition, Long> fates) {

    /**
     * Counts the calls of all kinds.
     *
     * @return the count
     */
    public long total() {
        return calls.values().stream().mapToLong(Long::longValue).sum();
    }

    /**
     * Counts the calls of one kind.
     *
     * @param call the kind
     * @return the count
     */
    public long of(PlatformCall call) {
        return calls.getOrDefault(call, 0L);
    }
}
