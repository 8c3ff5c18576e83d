package io.masticpond.entry.replica;

import java.util.HashSet;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Counts and tells of the entries that cannot be read, each once until it can be read again. For
 * the control thread.
 */
final class UnreadableEntries {

    private static final Logger sLogger = LoggerFactory.getLogger(UnreadableEntries.class);

    /** Lines at most, so that a writer of garbage cannot fill the log; the counts go on. */
    private static final int MAXIMUM_LINES = 200;

    private final Set<String> mNames = new HashSet<>();
    private long mSeen;
    private int mLines;

    /**
     * Takes an entry that cannot be read.
     *
     * @param document the entry
     * @param reason one sentence that says what is wrong
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

    /** Takes that an entry is good again, or gone. */
    void remove(String name) {
        mNames.remove(name);
    }

    /** Counts all changes that could not be read. */
    long seen() {
        return mSeen;
    }

    /** Counts the entries that lie in the store now and cannot be read. */
    int held() {
        return mNames.size();
    }
}
