package io.masticpond.core.admission;

/**
 * Slot counts over all backend servers of a shard.
 *
 * @param usable the slots that may be used now
 * @param free the usable slots that are not held
 * @param busy the usable slots held by requests that are expected to end
 * @param held all held slots, including those beyond the usable ones and at removed servers
 * @param nextReleaseNanos when the next slot of an abandoned request is freed, or {@link
 *     Long#MAX_VALUE}
 */
record SlotCounts(int usable, int free, int busy, int held, long nextReleaseNanos) {}
