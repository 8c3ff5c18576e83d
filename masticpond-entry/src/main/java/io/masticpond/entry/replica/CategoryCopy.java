package io.masticpond.entry.replica;

import io.masticpond.core.fleet.StoreRevision;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * This instance's copy of one category, which never goes back.
 *
 * <p>Documents are compared by the revisions of the store alone, so that it does not matter whether
 * the store or a peer told of them, nor in which order. Deletions are kept as tombstones.
 *
 * <p>A store that has come back from an older copy lists what was true then. Until its writers have
 * had time to write again, its list neither takes away what is known nor brings back what was
 * deleted; {@link #settle} and {@link #acceptRestored} end that. What is written in the new era
 * counts at once. For the control thread.
 */
final class CategoryCopy {

    private final Category mCategory;
    private final CopyListener mListener;
    private final Map<String, Held> mDocuments = new HashMap<>();
    private final Map<String, Tombstone> mTombstones = new HashMap<>();

    /** Documents of a store that came back which had been deleted before. */
    private final Map<String, TimestampedDocument> mRestored = new HashMap<>();

    private boolean mRestoring;
    private boolean mUncertain;
    private boolean mListed;
    private long mRevision;
    private long mContentRevision;
    private long mHorizon;
    private long mConfirmedNanos;
    private CopySource mSource = CopySource.NONE;

    /**
     * Makes an empty copy.
     *
     * @param category the category
     * @param listener hears of changes
     */
    CategoryCopy(Category category, CopyListener listener) {
        mCategory = category;
        mListener = listener;
    }

    Category category() {
        return mCategory;
    }

    /** Tells whether the category has been read whole once. */
    boolean isListed() {
        return mListed;
    }

    /** Tells whether the category has been read whole, but not in an era or later. */
    boolean wasListedBefore(long era) {
        return mListed && StoreRevision.era(mRevision) < era;
    }

    /** Gives the revision up to which the copy is complete. */
    long revision() {
        return mRevision;
    }

    /** Gives the revision of the newest document or deletion that is known. */
    long contentRevision() {
        return mContentRevision;
    }

    long confirmedNanos() {
        return mConfirmedNanos;
    }

    CopySource source() {
        return mSource;
    }

    /** Tells how current the copy is. */
    CategoryStatus status(long nowNanos) {
        boolean isKnown = mSource != CopySource.NONE;
        return new CategoryStatus(
                mCategory,
                mListed,
                mRevision,
                mSource,
                isKnown ? Duration.ofNanos(nowNanos - mConfirmedNanos) : Duration.ZERO,
                mDocuments.size());
    }

    /**
     * Takes the whole content as it was at a revision, unless the copy is further.
     *
     * @param documents all documents
     * @param revision the revision up to which they are complete
     * @param source who told
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
        for (TimestampedDocument told : documents) {
            if (!told.document().deleted()) {
                names.add(told.document().name());
            }
            if (!isRestored(told.document())) {
                apply(told, revision, nowNanos);
            } else if (mRestored.putIfAbsent(told.document().name(), told) != null) {
                takeIfWrittenAgain(told, revision, nowNanos);
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
        // What came and went unseen before this list has no tombstone.
        mHorizon = revision;
        mListed = true;
        confirm(revision, source, nowNanos);
    }

    /** Tells whether a document was deleted in an earlier era than that of which it is listed. */
    private boolean isRestored(StoredDocument document) {
        Tombstone tombstone = mTombstones.get(document.name());
        return mUncertain
                && tombstone != null
                && !document.deleted()
                && StoreRevision.isOfEarlierEra(tombstone.revision(), document.revision());
    }

    private void takeIfWrittenAgain(TimestampedDocument told, long revision, long nowNanos) {
        TimestampedDocument before = mRestored.get(told.document().name());
        if (told.document().revision() > before.document().revision()) {
            apply(told, revision, nowNanos);
        }
    }

    /** Tells whether the store has come back from a copy and its writers may not be done. */
    boolean isRestoring() {
        return mRestoring;
    }

    /** Counts the documents that are known and that the store has not listed since its return. */
    int keptOverRestore() {
        return (int)
                mDocuments.values().stream()
                        .filter(held -> isOfEarlierEra(held.document()))
                        .count();
    }

    private boolean isOfEarlierEra(StoredDocument document) {
        return StoreRevision.isOfEarlierEra(document.revision(), mRevision);
    }

    /**
     * Takes it that what was lost has been written again: what is still not listed is gone.
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
     * Takes it that what had been deleted, was brought back by the store, and is still there, is
     * meant to be.
     *
     * @param nowNanos the monotonic time
     */
    void acceptRestored(long nowNanos) {
        mUncertain = false;
        List.copyOf(mRestored.values()).forEach(told -> apply(told, mRevision, nowNanos));
    }

    /**
     * Takes the changes since a revision at which the copy was, in their order.
     *
     * @param changes the changes
     * @param revision the revision up to which they are complete
     * @param source who told
     * @param nowNanos the monotonic time
     */
    void applyChanges(
            List<TimestampedDocument> changes, long revision, CopySource source, long nowNanos) {
        for (TimestampedDocument told : changes) {
            apply(told, revision, nowNanos);
        }
        confirm(Math.max(revision, mRevision), source, nowNanos);
    }

    /**
     * Takes what a peer has given, unless the copy is further.
     *
     * @param part the part
     * @param nowNanos the monotonic time
     */
    void applyPart(CopyPart part, long nowNanos) {
        if (part.whole()) {
            part.documents().forEach(told -> applySuperseding(told, nowNanos));
            applyList(part.documents(), part.revision(), CopySource.PEER, nowNanos);
        } else if (mListed && part.revision() >= mRevision) {
            applyChanges(part.documents(), part.revision(), CopySource.PEER, nowNanos);
        }
    }

    /** A peer may have kept a newer document than the copy that the store came back from has. */
    private void applySuperseding(TimestampedDocument told, long nowNanos) {
        StoredDocument document = told.document();
        Held held = mDocuments.get(document.name());
        boolean isOutranking =
                held != null
                        && held.document().revision() == document.revision()
                        && mListener.isOvertaken(held.document(), document);
        if (isOutranking) {
            mDocuments.put(document.name(), new Held(document, nowNanos));
            mListener.changed(document, told.stateNanos());
        }
    }

    /**
     * Tells whether another copy lacks anything that is known here.
     *
     * @param afterRevision the revision up to which the other is complete; negative if it is empty
     * @return whether it does
     */
    boolean hasUpdates(long afterRevision) {
        return afterRevision < mHorizon || afterRevision < mContentRevision;
    }

    /**
     * Gives what another copy lacks.
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
            // The other may not know that they had been deleted, and decides by itself.
            documents.addAll(mRestored.values());
        }
        for (Map.Entry<String, Tombstone> entry : mTombstones.entrySet()) {
            Tombstone tombstone = entry.getValue();
            if (!whole && tombstone.learntRevision() > afterRevision) {
                documents.add(
                        new TimestampedDocument(deletion(entry.getKey(), tombstone), nowNanos));
            }
        }
        return new CopyPart(mCategory, mRevision, whole, documents);
    }

    /**
     * Forgets old deletions.
     *
     * @param beforeNanos the monotonic time before which they were learnt
     */
    void forgetTombstones(long beforeNanos) {
        Iterator<Tombstone> tombstones = mTombstones.values().iterator();
        while (tombstones.hasNext()) {
            Tombstone tombstone = tombstones.next();
            if (tombstone.learntNanos() - beforeNanos < 0) {
                mHorizon = Math.max(mHorizon, tombstone.learntRevision());
                tombstones.remove();
            }
        }
    }

    private StoredDocument deletion(String name, Tombstone tombstone) {
        return new StoredDocument(mCategory, name, tombstone.revision(), true, null);
    }

    private void apply(TimestampedDocument told, long completeRevision, long nowNanos) {
        StoredDocument document = told.document();
        mRestored.remove(document.name());
        Held held = mDocuments.get(document.name());
        Tombstone tombstone = mTombstones.get(document.name());
        if (document.deleted()) {
            if (held != null && document.revision() >= held.document().revision()) {
                markDeleted(document.name(), document.revision(), completeRevision, nowNanos);
            } else if (held == null && isOlder(tombstone, document.revision())) {
                // Unknown here, yet an old word of a peer must not bring it in.
                mContentRevision = Math.max(mContentRevision, document.revision());
                addTombstone(document.name(), document.revision(), completeRevision, nowNanos);
            }
            return;
        }
        boolean isBuried = tombstone != null && tombstone.revision() >= document.revision();
        boolean isKnown = held != null && held.document().revision() >= document.revision();
        if (isBuried || isKnown) {
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
        mDocuments.put(document.name(), new Held(document, told.stateNanos()));
        mListener.changed(document, told.stateNanos());
    }

    private boolean isOlderCopy(StoredDocument document, StoredDocument held) {
        return StoreRevision.isOfEarlierEra(held.revision(), document.revision())
                && mListener.isOvertaken(document, held);
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
        long learnt = Math.max(revision, completeRevision);
        mTombstones.put(name, new Tombstone(revision, learnt, nowNanos));
    }

    private void confirm(long revision, CopySource source, long nowNanos) {
        mRevision = revision;
        mSource = source;
        mConfirmedNanos = nowNanos;
    }

    /** A document and the monotonic time of which it tells. */
    record TimestampedDocument(StoredDocument document, long stateNanos) {}

    /** What another copy lacks, or the whole. */
    record CopyPart(
            Category category, long revision, boolean whole, List<TimestampedDocument> documents) {}

    private record Held(StoredDocument document, long stateNanos) {}

    private record Tombstone(long revision, long learntRevision, long learntNanos) {}
}
