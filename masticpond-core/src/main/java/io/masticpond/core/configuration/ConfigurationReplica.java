package io.masticpond.core.configuration;

import io.masticpond.core.id.ConfigurationVersion;
import io.masticpond.core.support.Assert;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Replica of the configuration at one instance. It accepts only higher versions, and keeps the last
 * changes so that it can send them to other instances. Not thread-safe.
 *
 * @since 0.1
 */
public final class ConfigurationReplica {

    /** Result of applying an update. */
    public enum ApplyResult {
        /** The update put a higher version in force. */
        NEWER,
        /** The version in force is equal to or higher than that of the update. */
        KNOWN,
        /**
         * Changes before those of the update are missing; the whole configuration must be
         * requested.
         */
        GAP
    }

    private final ConfigurationLogLimits mLimits;
    private Configuration mCurrent = Configuration.EMPTY;
    private List<ConfigurationLogEntry> mLog = List.of();

    /**
     * Creates a replica with the empty configuration.
     *
     * @param limits the limits of the log of changes that are kept
     */
    public ConfigurationReplica(ConfigurationLogLimits limits) {
        mLimits = Assert.notNull(limits, "Limits of the log");
    }

    /**
     * Returns the configuration in force.
     *
     * @return the configuration
     */
    public Configuration current() {
        return mCurrent;
    }

    /**
     * Applies an update from a peer or the platform.
     *
     * @param update the update
     * @return the result
     */
    public ApplyResult apply(ConfigurationUpdate update) {
        if (update.whole().isPresent()) {
            return applyFull(update.whole().get());
        }
        return applyEntries(update.entries());
    }

    /**
     * Returns the update that an instance with a lower version requires.
     *
     * @param known the version of the other instance
     * @return the update, or empty if the version of the other instance is not lower
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
        ApplyResult result = ApplyResult.KNOWN;
        for (ConfigurationLogEntry entry : entries) {
            if (!entry.version().isAfter(mCurrent.version())) {
                continue;
            }
            if (!entry.version().equals(mCurrent.version().next())) {
                return ApplyResult.GAP;
            }
            mCurrent = entry.applyTo(mCurrent);
            List<ConfigurationLogEntry> extendedLog = new ArrayList<>(mLog);
            extendedLog.add(entry);
            mLog = List.copyOf(mLimits.trim(extendedLog));
            result = ApplyResult.NEWER;
        }
        return result;
    }
}
