package io.masticpond.entry.replica;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import io.masticpond.core.fleet.StoreRevision;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/** Store in memory with one revision counter and a feed for each instance. */
final class FakeStore {

    private static final Duration DELAY = Duration.ofMillis(4);

    private final Scheduler mScheduler;
    private final Map<String, StoredDocument> mDocuments = new LinkedHashMap<>();
    private final List<StoredDocument> mHistory = new ArrayList<>();
    private final List<Feed> mFeeds = new ArrayList<>();
    private final Map<String, StoredDocument> mSavedDocuments = new LinkedHashMap<>();
    private long mRevision = 10;
    private long mHorizon;
    private long mEra;
    private long mSavedRevision;

    FakeStore(Scheduler scheduler) {
        mScheduler = scheduler;
    }

    Feed feed() {
        Feed feed = new Feed();
        mFeeds.add(feed);
        return feed;
    }

    long revision() {
        return StoreRevision.of(mEra, mRevision);
    }

    /** Saves the copy from which the store may be restored. */
    void saveCopy() {
        mSavedDocuments.clear();
        mSavedDocuments.putAll(mDocuments);
        mSavedRevision = mRevision;
    }

    /** Restores the copy in a new era; all watches are cut, or left dead. */
    void restoreCopy(boolean cuts) {
        mEra++;
        mRevision = mSavedRevision;
        mDocuments.clear();
        mSavedDocuments.forEach(
                (key, document) ->
                        mDocuments.put(
                                key,
                                document.at(
                                        StoreRevision.of(
                                                mEra,
                                                StoreRevision.revision(document.revision())))));
        mHistory.clear();
        mHorizon = revision();
        mFeeds.forEach(cuts ? Feed::cutWatches : Feed::dropWatches);
    }

    private long nextRevision() {
        mRevision++;
        return revision();
    }

    void server(String name, String state) {
        put(Category.BACKEND_SERVERS, name, JsonNodeFactory.instance.textNode(state));
    }

    void routing(long version) {
        put(Category.ROUTING, "main", JsonNodeFactory.instance.numberNode(version));
    }

    void put(Category category, String name, JsonNode content) {
        change(new StoredDocument(category, name, nextRevision(), false, content));
    }

    void delete(Category category, String name) {
        change(new StoredDocument(category, name, nextRevision(), true, null));
    }

    /** Drops the history and cuts all watches. */
    void compact() {
        mHorizon = revision();
        mFeeds.forEach(Feed::cutWatches);
    }

    private void change(StoredDocument document) {
        String key = document.category() + "/" + document.name();
        if (document.deleted()) {
            mDocuments.remove(key);
        } else {
            mDocuments.put(key, document);
        }
        mHistory.add(document);
        mFeeds.forEach(Feed::deliver);
    }

    private FeedResult contents(Category category) {
        return new FeedResult(
                mDocuments.values().stream().filter(d -> d.category() == category).toList(),
                revision());
    }

    /** Fault of an instance's calls. */
    enum Fault {
        NONE,
        REFUSED,
        SILENT
    }

    /** Access of one instance to the store. */
    final class Feed implements StoreFeed {

        private final List<Watch> mWatches = new ArrayList<>();
        private Fault mFault = Fault.NONE;
        private boolean mDropsEvents;
        private int mCalls;
        private long mKnownEra;

        int calls() {
            return mCalls;
        }

        /**
         * Changes the fault; {@link Fault#REFUSED} cuts the watches, {@link Fault#SILENT} leaves
         * them dead.
         */
        void fault(Fault fault) {
            mFault = fault;
            if (fault == Fault.REFUSED) {
                cutWatches();
            } else if (fault == Fault.SILENT) {
                mWatches.clear();
            }
        }

        /** Sets whether watches are held without ever receiving changes. */
        void dropEvents(boolean dropsEvents) {
            mDropsEvents = dropsEvents;
            if (dropsEvents) {
                mWatches.clear();
            }
        }

        void dropWatches() {
            mWatches.clear();
        }

        /** Lets the held watch of one category go silent, without an answer. */
        void dropWatch(Category category) {
            mWatches.removeIf(watch -> watch.category() == category);
        }

        @Override
        public long era() {
            return mKnownEra;
        }

        void cutWatches() {
            List<Watch> watches = List.copyOf(mWatches);
            mWatches.clear();
            watches.forEach(watch -> watch.result().accept(Either.left(FeedError.UNREACHABLE)));
        }

        void deliver() {
            for (Watch watch : List.copyOf(mWatches)) {
                List<StoredDocument> changes = changes(watch);
                if (!changes.isEmpty() && mWatches.remove(watch)) {
                    long revision = revision();
                    mScheduler.schedule(
                            DELAY,
                            () ->
                                    watch.result()
                                            .accept(
                                                    Either.right(
                                                            new FeedResult(changes, revision))));
                }
            }
        }

        @Override
        public void list(
                Category category,
                Duration timeout,
                Consumer<Either<FeedError, FeedResult>> result) {
            call(timeout, result, () -> result.accept(Either.right(contents(category))));
        }

        @Override
        public Runnable watch(
                Category category,
                long afterRevision,
                Duration wait,
                Consumer<Either<FeedError, FeedResult>> result) {
            Watch entry = new Watch(category, afterRevision, result);
            call(Duration.ofDays(1), result, () -> hold(entry, wait));
            return () -> mWatches.remove(entry);
        }

        private void hold(Watch entry, Duration wait) {
            boolean isOfThisEra = StoreRevision.era(entry.afterRevision()) == mEra;
            if (entry.afterRevision() < mHorizon || !isOfThisEra) {
                entry.result().accept(Either.left(FeedError.HISTORY_GONE));
                return;
            }
            if (mDropsEvents) {
                return;
            }
            mWatches.add(entry);
            mScheduler.schedule(
                    wait,
                    () -> {
                        if (mWatches.remove(entry)) {
                            entry.result()
                                    .accept(Either.right(new FeedResult(List.of(), revision())));
                        }
                    });
            deliver();
        }

        private List<StoredDocument> changes(Watch watch) {
            return mHistory.stream()
                    .filter(d -> d.category() == watch.category())
                    .filter(d -> d.revision() > watch.afterRevision())
                    .toList();
        }

        @Override
        public void put(
                Category category,
                String name,
                JsonNode content,
                Consumer<Either<FeedError, Void>> result) {
            call(
                    Duration.ofSeconds(1),
                    result,
                    () -> {
                        FakeStore.this.put(category, name, content);
                        result.accept(Either.right(null));
                    });
        }

        @Override
        public void delete(
                Category category, String name, Consumer<Either<FeedError, Void>> result) {
            call(
                    Duration.ofSeconds(1),
                    result,
                    () -> {
                        FakeStore.this.delete(category, name);
                        result.accept(Either.right(null));
                    });
        }

        private <T> void call(
                Duration timeout, Consumer<Either<FeedError, T>> result, Runnable done) {
            mCalls++;
            Fault fault = mFault;
            if (fault == Fault.SILENT) {
                mScheduler.schedule(
                        timeout, () -> result.accept(Either.left(FeedError.UNREACHABLE)));
                return;
            }
            mScheduler.schedule(
                    DELAY,
                    () -> {
                        mKnownEra = mEra;
                        if (fault == Fault.NONE) {
                            done.run();
                        } else {
                            result.accept(Either.left(FeedError.TURNED_AWAY));
                        }
                    });
        }
    }

    private record Watch(
            Category category,
            long afterRevision,
            Consumer<Either<FeedError, FeedResult>> result) {}
}
