package io.masticpond.entry.replica;

import io.masticpond.core.fleet.StoreRevision;
import java.util.List;
import java.util.regex.Pattern;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Newest era that an answer of the store has reported. The era rises each time the store is
 * restored from an older copy; late answers of an earlier era describe a state that no longer
 * exists. Confined to the control thread.
 *
 * @since 0.3
 */
public final class StoreEra {

    private static final Logger sLogger = LoggerFactory.getLogger(StoreEra.class);

    private static final Pattern NUMBER = Pattern.compile("\\d{1,18}");

    private long mNewest;
    private boolean mHasReceived;
    private boolean mHasWarned;

    /**
     * Evaluates the era header of an answer.
     *
     * @param values all values of the header, none if it is absent
     * @return whether the answer is of the newest era; an answer without a valid era is considered
     *     current
     */
    public boolean isCurrent(List<String> values) {
        if (values.isEmpty()) {
            return true;
        }
        String text = values.get(0).trim();
        boolean isEra =
                values.size() == 1
                        && NUMBER.matcher(text).matches()
                        && Long.parseLong(text) <= StoreRevision.LAST_ERA;
        if (!isEra) {
            warnOnce(text);
            return true;
        }
        return update(Long.parseLong(text));
    }

    private boolean update(long era) {
        if (mHasReceived && era > mNewest) {
            sLogger.warn("STORE  restored from an older copy: era {} after {}", era, mNewest);
        }
        mHasReceived = true;
        mNewest = Math.max(mNewest, era);
        return era == mNewest;
    }

    private void warnOnce(String text) {
        if (!mHasWarned) {
            mHasWarned = true;
            sLogger.warn("STORE  sent an invalid era of {} characters", text.length());
        }
    }

    /**
     * Returns the newest era.
     *
     * @return the era, 0 if none was reported
     */
    public long newest() {
        return mNewest;
    }
}
