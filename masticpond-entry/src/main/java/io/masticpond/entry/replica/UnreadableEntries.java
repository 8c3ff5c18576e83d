package io.masticpond.entry.replica;

import java.util.HashSet;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Counter and log of unreadable entries. Each entry is logged once until it is readable again.
 * Confined to the control thread.
 */
final class UnreadableEntries {

    private static final Logger sLogger = LoggerFactory.getLogger(UnreadableEntries.class);

    /**
     * Maximum number of log lines, so that a writer of garbage cannot fill the log; counting
     * continues.
     */
    private static final int MAXIMUM_LINES = 200;

    private final Set<String> mNames = new HashSet<>();
    private long mSeen;
    private int mLines;

    /**
     * Records an unreadable entry.
     *
     * @param document the entry
     * @param reason one sentence that describes the error
     */
    void add(StoredDocument document, String reason) {
        mSeen++;
        boolean isNew = mNames.add(document.name());
        if (isNew && mLines < MAXIMUM_LINES) {
            mLines++;
            sLogger.warn(
                    "STORE  entry {} at revision {} names nothing to use: {}",
                    document.name(),
                    document.revision(),
                    reason);
        }
    }

    /** Records that an entry is readable again or was removed. */
    void remove(String name) {
        mNames.remove(name);
    }

    /** Returns the number of all unreadable changes since the start. */
    long seen() {
        return mSeen;
    }

    /** Returns the number of entries in the store that are currently unreadable. */
    int held() {
        return mNames.size();
    }
}
