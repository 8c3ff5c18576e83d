package io.masticpond.testing.platform;

import io.masticpond.core.support.Assert;
import io.masticpond.core.time.TimeSource;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * In-memory platform with versioned objects, conditional updates, watches, instances and faults.
 *
 * <p>Thread-safe. It has no threads and no transport: callers obtain the disposition of a call from
 * {@link #begin} and apply it, as {@link PlatformServer} does over HTTP.
 *
 * @since 0.1
 */
public final class PlatformState {

    /** Maximum size of a value in bytes. */
    public static final int MAXIMUM_VALUE_BYTES = 1 << 20;

    /** Expected version of an object that must not exist yet. */
    public static final long ABSENT = 0;

    private final TimeSource mTimeSource;
    private final UniformRandomProvider mRandom;
    private final Map<String, TreeMap<String, PlatformObject>> mObjects = new HashMap<>();
    private final Map<String, Long> mLastVersions = new HashMap<>();
    private final List<Watch> mWatches = new ArrayList<>();
    private final InstanceList mInstances = new InstanceList();
    private final Map<PlatformCall, Long> mCalls = new EnumMap<>(PlatformCall.class);
    private final Map<PlatformCallDisposition, Long> mDispositions =
            new EnumMap<>(PlatformCallDisposition.class);
    private PlatformFaults mFaults = PlatformFaults.NONE;

    /**
     * Creates a platform without objects, instances or faults.
     *
     * @param timeSource clock of the lags
     * @param seed seed of the random faults
     */
    public PlatformState(TimeSource timeSource, long seed) {
        mTimeSource = Assert.notNull(timeSource, "A time source");
        mRandom = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
    }

    /**
     * Counts a call and determines its disposition from the current faults.
     *
     * @param call kind of the call
     * @return disposition of the call
     */
    public synchronized PlatformCallDisposition begin(PlatformCall call) {
        mCalls.merge(call, 1L, Long::sum);
        PlatformCallDisposition disposition = decide(call);
        mDispositions.merge(disposition, 1L, Long::sum);
        return disposition;
    }

    /**
     * Returns an object.
     *
     * @param kind the kind
     * @param name the name
     * @return the object, or empty if there is none
     */
    public synchronized Optional<PlatformObject> read(String kind, String name) {
        return Optional.ofNullable(objects(kind).get(name));
    }

    /**
     * Writes an object if it has the expected version.
     *
     * @param kind the kind
     * @param name the name
     * @param expectedVersion expected version, or {@link #ABSENT}
     * @param value new content, at most {@link #MAXIMUM_VALUE_BYTES}
     * @return result of the write
     */
    public synchronized WriteResult write(
            String kind, String name, long expectedVersion, byte[] value) {
        Assert.isTrue(
                value.length <= MAXIMUM_VALUE_BYTES,
                "A value must have at most %d bytes, but had %d.",
                MAXIMUM_VALUE_BYTES,
                value.length);
        Optional<PlatformObject> current = read(kind, name);
        if (versionOf(current) != expectedVersion) {
            return WriteResult.conflict(current);
        }
        long version = mLastVersions.merge(path(kind, name), 1L, Long::sum);
        PlatformObject written = new PlatformObject(name, version, value);
        objects(kind).put(name, written);
        completeWatches(path(kind, name), written);
        return WriteResult.changed(version);
    }

    /**
     * Deletes an object if it has the expected version. Versions of a later object of that name
     * continue from there.
     *
     * @param kind the kind
     * @param name the name
     * @param expectedVersion expected version
     * @return result of the deletion
     */
    public synchronized WriteResult delete(String kind, String name, long expectedVersion) {
        Optional<PlatformObject> current = read(kind, name);
        if (current.isEmpty() || versionOf(current) != expectedVersion) {
            return WriteResult.conflict(current);
        }
        objects(kind).remove(name);
        return WriteResult.changed(mLastVersions.merge(path(kind, name), 1L, Long::sum));
    }

    /**
     * Waits for a version above one that is known; cancel the future to stop waiting.
     *
     * @param kind the kind
     * @param name the name
     * @param afterVersion version that is known
     * @return future of the object, which may be completed already; callbacks must be short
     */
    public synchronized CompletableFuture<PlatformObject> watch(
            String kind, String name, long afterVersion) {
        Optional<PlatformObject> current = read(kind, name);
        if (versionOf(current) > afterVersion) {
            return CompletableFuture.completedFuture(current.orElseThrow());
        }
        Watch watch = new Watch(path(kind, name), afterVersion, new CompletableFuture<>());
        mWatches.removeIf(each -> each.future().isDone());
        mWatches.add(watch);
        return watch.future();
    }

    /**
     * Returns the names of a kind in order.
     *
     * @param kind the kind
     * @param prefix prefix of the names
     * @param after exclusive lower bound of the names, or ""
     * @param limit maximum number of names
     * @return the names
     */
    public synchronized List<String> list(String kind, String prefix, String after, int limit) {
        return objects(kind).tailMap(after, false).keySet().stream()
                .filter(name -> name.startsWith(prefix))
                .limit(limit)
                .toList();
    }

    /**
     * Adds an instance to the list, or replaces it.
     *
     * @param instance the instance
     */
    public synchronized void putInstance(PlatformInstance instance) {
        mInstances.put(instance, mTimeSource.monotonicNanos());
    }

    /**
     * Removes an instance from the list.
     *
     * @param id id of the instance
     * @return whether it was on the list
     */
    public synchronized boolean removeInstance(String id) {
        return mInstances.remove(id, mTimeSource.monotonicNanos());
    }

    /**
     * Returns the list of instances, delayed by the lag of the current faults.
     *
     * @return the instances, in the order of their ids
     */
    public synchronized List<PlatformInstance> instances() {
        return mInstances.asOf(mTimeSource.monotonicNanos(), mFaults.listLagMillis());
    }

    /**
     * Replaces the faults.
     *
     * @param faults the faults
     */
    public synchronized void setFaults(PlatformFaults faults) {
        mFaults = Assert.notNull(faults, "Faults");
    }

    /**
     * Returns the current faults.
     *
     * @return the faults
     */
    public synchronized PlatformFaults faults() {
        return mFaults;
    }

    /**
     * Returns the number of calls by kind and by disposition, including refused calls.
     *
     * @return counters since the start or the last {@link #resetCounts}
     */
    public synchronized PlatformCounts counts() {
        return new PlatformCounts(Map.copyOf(mCalls), Map.copyOf(mDispositions));
    }

    /** Resets the counters to zero. */
    public synchronized void resetCounts() {
        mCalls.clear();
        mDispositions.clear();
    }

    private PlatformCallDisposition decide(PlatformCall call) {
        if (mFaults.outage() != PlatformCallDisposition.SERVED) {
            return mFaults.outage();
        }
        if (mRandom.nextDouble() < mFaults.refusedShare()) {
            return PlatformCallDisposition.REFUSED;
        }
        if (call.changes() && mRandom.nextDouble() < mFaults.lostAnswerShare()) {
            return PlatformCallDisposition.ANSWER_LOST;
        }
        if (call.changes() && mRandom.nextDouble() < mFaults.lateEffectShare()) {
            return PlatformCallDisposition.EFFECT_LATE;
        }
        return PlatformCallDisposition.SERVED;
    }

    private void completeWatches(String path, PlatformObject written) {
        for (Iterator<Watch> each = mWatches.iterator(); each.hasNext(); ) {
            Watch watch = each.next();
            if (watch.path().equals(path) && written.version() > watch.afterVersion()) {
                each.remove();
                watch.future().complete(written);
            }
        }
    }

    private TreeMap<String, PlatformObject> objects(String kind) {
        return mObjects.computeIfAbsent(kind, key -> new TreeMap<>());
    }

    private static long versionOf(Optional<PlatformObject> object) {
        return object.map(PlatformObject::version).orElse(ABSENT);
    }

    private static String path(String kind, String name) {
        return kind + "/" + name;
    }

    /** Pending watch. */
    private record Watch(
            String path, long afterVersion, CompletableFuture<PlatformObject> future) {}
}
