package io.masticpond.measure.configuration;

import io.masticpond.testing.platform.PlatformObject;
import io.masticpond.testing.platform.PlatformState;
import java.util.Map;
import java.util.concurrent.ConcurrentSkipListMap;

/**
 * Log of the times at which the stand-in platform wrote each version of the configuration head,
 * independent of the answer that the writer received.
 *
 * <p>Thread-safe.
 */
final class AcceptanceLog {

    private static final String HEAD_KIND = "configurations";
    private static final String HEAD_NAME = "head";

    private final PlatformState mState;
    private final Map<Long, Long> mNanosByVersion = new ConcurrentSkipListMap<>();

    AcceptanceLog(PlatformState state) {
        mState = state;
        watchHead(PlatformState.ABSENT);
    }

    /**
     * Returns the time at which each version was written, from {@link System#nanoTime}. The object
     * of the head is written once per version.
     */
    Map<Long, Long> nanosByVersion() {
        return Map.copyOf(mNanosByVersion);
    }

    private void watchHead(long afterVersion) {
        var unused =
                mState.watch(HEAD_KIND, HEAD_NAME, afterVersion).thenAccept(this::recordVersions);
    }

    private void recordVersions(PlatformObject object) {
        long now = System.nanoTime();
        long lastVersion =
                mNanosByVersion.isEmpty()
                        ? 0
                        : mNanosByVersion.keySet().stream().max(Long::compare).get();
        for (long version = lastVersion + 1; version <= object.version(); version++) {
            mNanosByVersion.put(version, now);
        }
        watchHead(object.version());
    }
}
