package io.masticpond.entry.replica;

import java.time.Duration;

/**
 * Snapshot of how current the copy of one category is.
 *
 * @param category the category
 * @param listed whether it has been listed completely at least once
 * @param revision the revision up to which the copy is complete
 * @param source the source that confirmed it last
 * @param age how long ago that was; zero if never
 * @param proofAge the age of the newest proof that no change is missing, that is the time since the
 *     request of the newest answer of the store; zero if there is none
 * @param documents the number of documents in the copy
 * @since 0.2
 */
public record CategoryStatus(
        Category category,
        boolean listed,
        long revision,
        CopySource source,
        Duration age,
        Duration proofAge,
        int documents) {}
