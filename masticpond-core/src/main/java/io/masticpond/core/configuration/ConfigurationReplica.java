package io.masticpond.core.configuration;

import io.masticpond.core.id.ConfigurationVersion;
import io.masticpond.core.support.Assert;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * The configuration at one instance: takes only higher versions, and keeps the last changes so that
 * it can tell them to others. A state machine for one thread.
 *
 * @since 0.1
 */
public final class ConfigurationReplica {

    /** What became of news. */
    public enum ApplyResult {
        /** A higher version is in force now. */
        NEWER,
        /** The version in force is as high or higher. */
        KNOWN,
        /** Changes are missing in between; the whole must be asked for. */
        GAP
    }

    private final ConfigurationLogLimits mLimits;
    private Configuration mCurrent = Configuration.EMPTY;
    private List<ConfigurationLogEntry> mLog = List.of();

    /**
     * Starts with the empty configuration.
     *
     * @param limits how many changes are kept
     */
    public ConfigurationReplica(ConfigurationLogLimits limits) {
        mLimits = Assert.notNull(limits, "Limits of the log");
    }

    /**
     * Gives the configuration in force.
     *
     * @return the configuration
     */
    public Configuration current() {
        return mCurrent;
    }

    /**
     * Takes news of a peer or of the platform.
     *
     * @param news the news
     * @return what became of them
     */
    public ApplyResult apply(ConfigurationUpdate news) {
        if (news.whole().isPresent()) {
            return applyFull(news.whole().get());
        }
        return applyEntries(news.entries());
    }

    /**
     * Tells what an instance with a lower version lacks.
     *
     * @param known the version of the other instance
     * @return the news, or empty if the other instance lacks nothing
     */
    public Optional<ConfigurationUpdate> updateSince(ConfigurationVersion known) {
        if (!mCurrent.version().isAfter(known)) {
            return Optional.empty();
        }
        long missing = mCurrent.version().number() - known.number();
        if (missing > mLog.size()) {
            return Optional.of(ConfigurationUpdate.of(mCurrent));
        }
        return Optional.of(
                ConfigurationUpdate.of(mLog.subList((int) (mLog.size() - missing), mLog.size())));
    }

    private ApplyResult applyFull(Configuration configuration) {
        if (!configuration.version().isAfter(mCurrent.version())) {
            return ApplyResult.KNOWN;
        }
        mCurrent = configuration;
        mLog = List.of();
        return ApplyResult.NEWER;
    }

    private ApplyResult applyEntries(List<ConfigurationLogEntry> entries) {
        ApplyResult taken = ApplyResult.KNOWN;
        for (ConfigurationLogEntry entry : entries) {
            if (!entry.version().isAfter(mCurrent.version())) {
                continue;
            }
            if (!entry.version().equals(mCurrent.version().next())) {
                return ApplyResult.GAP;
            }
            mCurrent = entry.applyTo(mCurrent);
            List<ConfigurationLogEntry> grown = new ArrayList<>(mLog);
            grown.add(entry);
            mLog = List.copyOf(mLimits.trim(grown));
            taken = ApplyResult.NEWER;
        }
        return taken;
    }
}
