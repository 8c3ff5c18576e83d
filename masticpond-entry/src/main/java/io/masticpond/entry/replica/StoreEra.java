package io.masticpond.entry.replica;

import io.masticpond.core.fleet.StoreRevision;
import java.util.List;
import java.util.regex.Pattern;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The newest era that an answer of the store has told. Each time the store comes back from an older
 * copy, its era rises; answers of an earlier one that arrive late are of a state that is no more.
 * For the control thread.
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
     * Takes what the head of an answer says.
     *
     * @param values all values of the header, none if it is absent
     * @return whether the answer is of the newest era, as far as it tells; one that tells nothing
     *     is taken for current
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
            warn(text);
            return true;
        }
        return take(Long.parseLong(text));
    }

    private boolean take(long era) {
        if (mHasReceived && era > mNewest) {
            sLogger.warn("STORE  came back from an older copy: era {} after {}", era, mNewest);
        }
        mHasReceived = true;
        mNewest = Math.max(mNewest, era);
        return era == mNewest;
    }

    private void warn(String text) {
        if (!mHasWarned) {
            mHasWarned = true;
            sLogger.warn("STORE  tells an era that is none: {} characters", text.length());
        }
    }

    /**
     * Gives the newest era.
     *
     * @return the era, 0 if none was told
     */
    public long newest() {
        return mNewest;
    }
}
