package io.masticpond.entry.replica;

import io.masticpond.core.fleet.StoreRevision;
import io.masticpond.core.time.Moment;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Local copy of one category, which never reverts to an older state.
 *
 * <p>Documents are compared only by the revisions of the store, so neither their source (the store
 * or a peer) nor their order of arrival matters. Deletions are kept as tombstones.
 *
 * <p>A store that was restored from an older copy lists an outdated state. Until its writers have
 * had time to write again, its list neither removes known documents nor brings back deleted ones;
 * {@link #settle} and {@link #acceptRestored} end that. Documents written in the new era apply at
 * once. Confined to the control thread.
 */
final class CategoryCopy {

    private final Category mCategory;
    private final CopyListener mListener;
    private final Map<String, Held> mDocuments = new HashMap<>();
    private final Map<String, Tombstone> mTombstones = new HashMap<>();

    /** Documents listed by a restored store that had been deleted before the restore. */
    private final Map<String, TimestampedDocument> mRestored = new HashMap<>();

    private boolean mRestoring;
    private boolean mUncertain;
    private boolean mListed;
    private long mRevision;
    private long mContentRevision;
    private long mHorizon;
    private long mConfirmedNanos;
    private CopySource mSource = CopySource.NONE;
    private final LatestProof mProof = new LatestProof();

    /**
     * Creates an empty copy.
     *
     * @param category the category
     * @param listener receives the changes
     */
    CategoryCopy(Category category, CopyListener listener) {
        mCategory = category;
        mListener = listener;
    }

    Category category() {
        return mCategory;
    }

    /** Returns whether the category has been listed completely at least once. */
    boolean isListed() {
        return mListed;
    }

    /** Returns whether the category has been listed completely, but only before the given era. */
    boolean wasListedBefore(long era) {
        return mListed && StoreRevision.era(mRevision) < era;
    }

    /** Returns the revision up to which the copy is complete. */
    long revision() {
        return mRevision;
    }

    /** Returns whether the copy contains all changes up to a revision. */
    boolean isCompleteUpTo(long revision) {
        return mListed && mRevision >= revision;
    }

    /** Returns the revision of the newest document or deletion that is known. */
    long contentRevision() {
        return mContentRevision;
    }

    long confirmedNanos() {
        return mConfirmedNanos;
    }

    CopySource source() {
        return mSource;
    }

    /** Returns the newest proof that this copy misses no change. */
    LatestProof proof() {
        return mProof;
    }

    /** Returns how current the copy is. */
    CategoryStatus status(Moment now) {
        long nowNanos = now.monotonicNanos();
        boolean isKnown = mSource != CopySource.NONE;
        return new CategoryStatus(
                mCategory,
                mListed,
                mRevision,
                mSource,
                isKnown ? Duration.ofNanos(nowNanos - mConfirmedNanos) : Duration.ZERO,
                Duration.ofNanos(mProof.ageNanos(now)),
                mDocuments.size());
    }

    /**
     * Applies the complete content at a revision, unless the copy is at a later one.
     *
     * @param documents all documents
     * @param revision the revision up to which they are complete
     * @param source where the documents come from
     * @param nowNanos the monotonic time
     */
    void applyList(
            List<TimestampedDocument> documents, long revision, CopySource source, long nowNanos) {
        if (mListed && revision < mRevision) {
            return;
        }
        if (mListed && StoreRevision.isOfEarlierEra(mRevision, revision)) {
            mRestoring = true;
            mUncertain = true;
        }
        Set<String> names = new HashSet<>();
        for (TimestampedDocument timestamped : documents) {
            if (!timestamped.document().deleted()) {
                names.add(timestamped.document().name());
            }
            if (!isRestored(timestamped.document())) {
                apply(timestamped, revision, nowNanos);
            } else if (mRestored.putIfAbsent(timestamped.document().name(), timestamped) != null) {
                applyIfRewritten(timestamped, revision, nowNanos);
            }
        }
        mRestored.keySet().retainAll(names);
        for (Held held : new ArrayList<>(mDocuments.values())) {
            StoredDocument document = held.document();
            boolean isKept =
                    mRestoring && StoreRevision.isOfEarlierEra(document.revision(), revision);
            if (!names.contains(document.name()) && document.revision() <= revision && !isKept) {
                markDeleted(document.name(), revision, revision, nowNanos);
            }
        }
        // Documents created and deleted unseen before this list have no tombstone.
        mHorizon = revision;
        mListed = true;
        confirm(revision, source, nowNanos);
    }

    /**
     * Returns whether a document was deleted in an earlier era than the one in which it is listed.
     */
    private boolean isRestored(StoredDocument document) {
        Tombstone tombstone = mTombstones.get(document.name());
        return mUncertain
                && tombstone != null
                && !document.deleted()
                && StoreRevision.isOfEarlierEra(tombstone.revision(), document.revision());
    }

    private void applyIfRewritten(TimestampedDocument timestamped, long revision, long nowNanos) {
        TimestampedDocument before = mRestored.get(timestamped.document().name());
        if (timestamped.document().revision() > before.document().revision()) {
            apply(timestamped, revision, nowNanos);
        }
    }

    /**
     * Returns whether the store was restored from a copy and its writers may not have written
     * again.
     */
    boolean isRestoring() {
        return mRestoring;
    }

    /** Returns the number of known documents that the store has not listed since its restore. */
    int countKeptAfterRestore() {
        return (int)
                mDocuments.values().stream()
                        .filter(held -> isOfEarlierEra(held.document()))
                        .count();
    }

    private boolean isOfEarlierEra(StoredDocument document) {
        return StoreRevision.isOfEarlierEra(document.revision(), mRevision);
    }

    /**
     * Assumes that all lost documents have been written again, and removes those still not listed.
     *
     * @param nowNanos the monotonic time
     */
    void settle(long nowNanos) {
        mRestoring = false;
        for (Held held : new ArrayList<>(mDocuments.values())) {
            StoredDocument document = held.document();
            if (isOfEarlierEra(document)) {
                markDeleted(document.name(), mRevision, mRevision, nowNanos);
            }
        }
    }

    /**
     * Accepts the documents that had been deleted, were brought back by the restored store and
     * still exist.
     *
     * @param nowNanos the monotonic time
     */
    void acceptRestored(long nowNanos) {
        mUncertain = false;
        List.copyOf(mRestored.values())
                .forEach(timestamped -> apply(timestamped, mRevision, nowNanos));
    }

    /**
     * Applies the changes since an earlier revision of the copy, in their order.
     *
     * @param changes the changes
     * @param revision the revision up to which they are complete
     * @param source where the documents come from
     * @param nowNanos the monotonic time
     */
    void applyChanges(
            List<TimestampedDocument> changes, long revision, CopySource source, long nowNanos) {
        for (TimestampedDocument timestamped : changes) {
            apply(timestamped, revision, nowNanos);
        }
        confirm(Math.max(revision, mRevision), source, nowNanos);
    }

    /**
     * Applies the part sent by a peer, unless the copy is at a later revision.
     *
     * @param part the part
     * @param nowNanos the monotonic time
     */
    void applyPart(CopyPart part, long nowNanos) {
        if (part.whole()) {
            part.documents().forEach(timestamped -> applySuperseding(timestamped, nowNanos));
            applyList(part.documents(), part.revision(), CopySource.PEER, nowNanos);
        } else if (mListed && part.revision() >= mRevision) {
            applyChanges(part.documents(), part.revision(), CopySource.PEER, nowNanos);
        }
    }

    /** A peer may have kept a newer document than the copy from which the store was restored. */
    private void applySuperseding(TimestampedDocument timestamped, long nowNanos) {
        StoredDocument document = timestamped.document();
        Held held = mDocuments.get(document.name());
        boolean isSuperseding =
                held != null
                        && held.document().revision() == document.revision()
                        && mListener.isSuperseded(held.document(), document);
        if (isSuperseding) {
            mDocuments.put(document.name(), new Held(document, nowNanos));
            mListener.changed(document, timestamped.stateNanos());
        }
    }

    /**
     * Returns whether another copy lacks a change that is known here.
     *
     * @param afterRevision the revision up to which the other is complete; negative if it is empty
     * @return whether a change is missing
     */
    boolean hasUpdates(long afterRevision) {
        return afterRevision < mHorizon || afterRevision < mContentRevision;
    }

    /**
     * Returns the changes that another copy lacks.
     *
     * @param afterRevision the revision up to which the other is complete; negative if it is empty
     * @param nowNanos the monotonic time
     * @return the part of this copy
     */
    CopyPart since(long afterRevision, long nowNanos) {
        if (afterRevision > mRevision) {
            return new CopyPart(mCategory, mRevision, false, List.of());
        }
        boolean whole = afterRevision < mHorizon;
        List<TimestampedDocument> documents = new ArrayList<>();
        for (Held held : mDocuments.values()) {
            if (whole || held.document().revision() > afterRevision) {
                documents.add(new TimestampedDocument(held.document(), held.stateNanos()));
            }
        }
        if (whole) {
            // The other copy may not know of their deletion, and decides by itself.
            documents.addAll(mRestored.values());
        }
        for (Map.Entry<String, Tombstone> entry : mTombstones.entrySet()) {
            Tombstone tombstone = entry.getValue();
            if (!whole && tombstone.recordedRevision() > afterRevision) {
                documents.add(
                        new TimestampedDocument(deletion(entry.getKey(), tombstone), nowNanos));
            }
        }
        return new CopyPart(mCategory, mRevision, whole, documents);
    }

    /**
     * Discards old tombstones.
     *
     * @param beforeNanos the monotonic time; tombstones recorded before it are discarded
     */
    void forgetTombstones(long beforeNanos) {
        Iterator<Tombstone> tombstones = mTombstones.values().iterator();
        while (tombstones.hasNext()) {
            Tombstone tombstone = tombstones.next();
            if (tombstone.recordedNanos() - beforeNanos < 0) {
                mHorizon = Math.max(mHorizon, tombstone.recordedRevision());
                tombstones.remove();
            }
        }
    }

    private StoredDocument deletion(String name, Tombstone tombstone) {
        return new StoredDocument(mCategory, name, tombstone.revision(), true, null);
    }

    private void apply(TimestampedDocument timestamped, long completeRevision, long nowNanos) {
        StoredDocument document = timestamped.document();
        mRestored.remove(document.name());
        Held held = mDocuments.get(document.name());
        Tombstone tombstone = mTombstones.get(document.name());
        if (document.deleted()) {
            if (held != null && document.revision() >= held.document().revision()) {
                markDeleted(document.name(), document.revision(), completeRevision, nowNanos);
            } else if (held == null && isOlder(tombstone, document.revision())) {
                // Unknown here, but an outdated document of a peer must not add it.
                mContentRevision = Math.max(mContentRevision, document.revision());
                addTombstone(document.name(), document.revision(), completeRevision, nowNanos);
            }
            return;
        }
        boolean isDeletedLater = tombstone != null && tombstone.revision() >= document.revision();
        boolean isKnown = held != null && held.document().revision() >= document.revision();
        if (isDeletedLater || isKnown) {
            return;
        }
        mTombstones.remove(document.name());
        mContentRevision = Math.max(mContentRevision, document.revision());
        if (held != null && isOlderCopy(document, held.document())) {
            StoredDocument kept = held.document().at(document.revision());
            mDocuments.put(document.name(), new Held(kept, held.stateNanos()));
            mListener.retained(document.revision());
            return;
        }
        mDocuments.put(document.name(), new Held(document, timestamped.stateNanos()));
        mListener.changed(document, timestamped.stateNanos());
    }

    private boolean isOlderCopy(StoredDocument document, StoredDocument held) {
        return StoreRevision.isOfEarlierEra(held.revision(), document.revision())
                && mListener.isSuperseded(document, held);
    }

    private static boolean isOlder(Tombstone tombstone, long revision) {
        return tombstone == null || tombstone.revision() < revision;
    }

    private void markDeleted(String name, long revision, long completeRevision, long nowNanos) {
        mDocuments.remove(name);
        mContentRevision = Math.max(mContentRevision, revision);
        addTombstone(name, revision, completeRevision, nowNanos);
        mListener.removed(name, revision);
    }

    private void addTombstone(String name, long revision, long completeRevision, long nowNanos) {
        long recordedRevision = Math.max(revision, completeRevision);
        mTombstones.put(name, new Tombstone(revision, recordedRevision, nowNanos));
    }

    private void confirm(long revision, CopySource source, long nowNanos) {
        mRevision = revision;
        mSource = source;
        mConfirmedNanos = nowNanos;
    }

    /** Document and the monotonic time of the state that it describes. */
    record TimestampedDocument(StoredDocument document, long stateNanos) {}

    /** Changes that another copy lacks, or the complete content. */
    record CopyPart(
            Category category, long revision, boolean whole, List<TimestampedDocument> documents) {}

    private record Held(StoredDocument document, long stateNanos) {}

    private record Tombstone(long revision, long recordedRevision, long recordedNanos) {}
}
