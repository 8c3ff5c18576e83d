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
 * A platform in memory: objects with versions, conditional updates, watches, instances and faults.
 *
 * <p>Safe for all threads. It has no threads and no transport of its own: callers ask {@link
 * #begin} what becomes of a call and act on that, {@link PlatformServer} over HTTP.
 *
 * @since 0.1
 */
public final class PlatformState {

    /** The greatest size of a value in bytes. */
    public static final int MAXIMUM_VALUE_BYTES = 1 << 20;

    /** The version to expect of an object that must not exist yet. */
    public static final long ABSENT = 0;

    private final TimeSource mTimeSource;
    private final UniformRandomProvider mRandom;
    private final Map<String, TreeMap<String, PlatformObject>> mObjects = new HashMap<>();
    private final Map<String, Long> mLastVersions = new HashMap<>();
    private final List<Watch> mWatches = new ArrayList<>();
    private final InstanceList mInstances = new InstanceList();
    private final Map<PlatformCall, Long> mCalls = new EnumMap<>(PlatformCall.class);
    private final Map<PlatformCallDisposition, Long> mFates =
            new EnumMap<>(PlatformCallDisposition.class);
    private PlatformFaults mFaults = PlatformFaults.NONE;

    /**
     * Makes a platform without objects, instances or faults.
     *
     * @param timeSource the clock of the lags
     * @param seed the seed of the shares of calls that fail
     */
    public PlatformState(TimeSource timeSource, long seed) {
        mTimeSource = Assert.notNull(timeSource, "A time source");
        mRandom = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
    }

    /**
     * Counts a call and decides what the faults in force make of it.
     *
     * @param call the kind of the call
     * @return its fate
     */
    public synchronized PlatformCallDisposition begin(PlatformCall call) {
        mCalls.merge(call, 1L, Long::sum);
        PlatformCallDisposition fate = decide(call);
        mFates.merge(fate, 1L, Long::sum);
        return fate;
    }

    /**
     * Reads an object.
     *
     * @param kind the kind
     * @param name the name
     * @return the object, or empty if there is none
     */
    public synchronized Optional<PlatformObject> read(String kind, String name) {
        return Optional.ofNullable(objects(kind).get(name));
    }

    /**
     * Writes an object if it still has the expected version.
     *
     * @param kind the kind
     * @param name the name
     * @param expectedVersion the version that it must have, or {@link #ABSENT}
     * @param value the new bytes, at most {@link #MAXIMUM_VALUE_BYTES}
     * @return what came of it
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
     * Deletes an object if it still has the expected version; the next version goes on from there.
     *
     * @param kind the kind
     * @param name the name
     * @param expectedVersion the version that it must have
     * @return what came of it
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
     * Waits for a version above one already seen; cancel the future to give up.
     *
     * @param kind the kind
     * @param name the name
     * @param afterVersion the version already seen
     * @return completes with the object, perhaps at once; callbacks must be short
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
     * Lists the names of a kind in order.
     *
     * @param kind the kind
     * @param prefix the start of the names
     * @param after only names after this one, or ""
     * @param limit how many names at most
     * @return the names
     */
    public synchronized List<String> list(String kind, String prefix, String after, int limit) {
        return objects(kind).tailMap(after, false).keySet().stream()
                .filter(name -> name.startsWith(prefix))
                .limit(limit)
                .toList();
    }

    /**
     * Adds an instance to the list, or changes it.
     *
     * @param instance the instance
     */
    public synchronized void putInstance(PlatformInstance instance) {
        mInstances.put(instance, mTimeSource.monotonicNanos());
    }

    /**
     * Takes an instance off the list.
     *
     * @param id the instance
     * @return whether it was on the list
     */
    public synchronized boolean removeInstance(String id) {
        return mInstances.remove(id, mTimeSource.monotonicNanos());
    }

    /**
     * Reads the list of instances, as old as the faults say.
     *
     * @return the instances, in the order of their ids
     */
    public synchronized List<PlatformInstance> instances() {
        return mInstances.asOf(mTimeSource.monotonicNanos(), mFaults.listLagMillis());
    }

    /**
     * Puts faults into force in place of those before.
     *
     * @param faults the faults
     */
    public synchronized void setFaults(PlatformFaults faults) {
        mFaults = Assert.notNull(faults, "Faults");
    }

    /**
     * Tells the faults in force.
     *
     * @return the faults
     */
    public synchronized PlatformFaults faults() {
        return mFaults;
    }

    /**
     * Counts the calls by kind and by fate, refused ones included.
     *
     * @return the counts since the start or since {@link #resetCounts}
     */
    public synchronized PlatformCounts counts() {
        return new PlatformCounts(Map.copyOf(mCalls), Map.copyOf(mFates));
    }

    /** Sets the counts to zero. */
    public synchronized void resetCounts() {
        mCalls.clear();
        mFates.clear();
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

    /** A watch that waits. */
    private record Watch(
            String path, long afterVersion, CompletableFuture<PlatformObject> future) {}
}
