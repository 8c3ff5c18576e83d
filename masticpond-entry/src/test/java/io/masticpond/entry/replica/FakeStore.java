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

/** A store with one revision counter, and a view of it for each instance. */
final class FakeStore {

    private static final Duration DELAY = Duration.ofMillis(4);

    private final Scheduler mScheduler;
    private final Map<String, StoredDocument> mDocuments = new LinkedHashMap<>();
    private final List<StoredDocument> mHistory = new ArrayList<>();
    private final List<Feed> mFeeds = new ArrayList<>();
    private final Map<String, StoredDocument> mCopy = new LinkedHashMap<>();
    private long mRevision = 10;
    private long mHorizon;
    private long mEra;
    private long mCopyRevision;

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

    /** Makes the copy from which the store may come back. */
    void keepCopy() {
        mCopy.clear();
        mCopy.putAll(mDocuments);
        mCopyRevision = mRevision;
    }

    /** Comes back from the copy in a new era; all waits are cut, or left dead. */
    void restoreCopy(boolean cuts) {
        mEra++;
        mRevision = mCopyRevision;
        mDocuments.clear();
        mCopy.forEach(
                (key, document) ->
                        mDocuments.put(
                                key,
                                document.at(
                                        StoreRevision.of(
                                                mEra,
                                                StoreRevision.revision(document.revision())))));
        mHistory.clear();
        mHorizon = revision();
        mFeeds.forEach(cuts ? Feed::cut : Feed::loseWaits);
    }

    private long next() {
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
        change(new StoredDocument(category, name, next(), false, content));
    }

    void delete(Category category, String name) {
        change(new StoredDocument(category, name, next(), true, null));
    }

    /** Drops the history and cuts all waits. */
    void compact() {
        mHorizon = revision();
        mFeeds.forEach(Feed::cut);
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

    /** What becomes of an instance's calls. */
    enum Fault {
        NONE,
        REFUSED,
        SILENT
    }

    /** The store as one instance sees it. */
    final class Feed implements StoreFeed {

        private final List<Wait> mWaits = new ArrayList<>();
        private Fault mFault = Fault.NONE;
        private boolean mMuted;
        private int mCalls;
        private long mKnownEra;

        int calls() {
            return mCalls;
        }

        /** Changes the fault; refusing cuts the waits, silence leaves them dead. */
        void fault(Fault fault) {
            mFault = fault;
            if (fault == Fault.REFUSED) {
                cut();
            } else if (fault == Fault.SILENT) {
                mWaits.clear();
            }
        }

        /** Lets waits hear nothing of changes for good, though they are held. */
        void dropEvents(boolean muted) {
            mMuted = muted;
            if (muted) {
                mWaits.clear();
            }
        }

        void loseWaits() {
            mWaits.clear();
        }

        @Override
        public long era() {
            return mKnownEra;
        }

        void cut() {
            List<Wait> waits = List.copyOf(mWaits);
            mWaits.clear();
            waits.forEach(wait -> wait.result().accept(Either.left(FeedError.UNREACHABLE)));
        }

        void deliver() {
            for (Wait wait : List.copyOf(mWaits)) {
                List<StoredDocument> changes = changes(wait);
                if (!changes.isEmpty() && mWaits.remove(wait)) {
                    long revision = revision();
                    mScheduler.schedule(
                            DELAY,
                            () ->
                                    wait.result()
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
            Wait entry = new Wait(category, afterRevision, result);
            call(Duration.ofDays(1), result, () -> hold(entry, wait));
            return () -> mWaits.remove(entry);
        }

        private void hold(Wait entry, Duration wait) {
            boolean isOfThisEra = StoreRevision.era(entry.afterRevision()) == mEra;
            if (entry.afterRevision() < mHorizon || !isOfThisEra) {
                entry.result().accept(Either.left(FeedError.HISTORY_GONE));
                return;
            }
            if (mMuted) {
                return;
            }
            mWaits.add(entry);
            mScheduler.schedule(
                    wait,
                    () -> {
                        if (mWaits.remove(entry)) {
                            entry.result()
                                    .accept(Either.right(new FeedResult(List.of(), revision())));
                        }
                    });
            deliver();
        }

        private List<StoredDocument> changes(Wait wait) {
            return mHistory.stream()
                    .filter(d -> d.category() == wait.category())
                    .filter(d -> d.revision() > wait.afterRevision())
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

    private record Wait(
            Category category,
            long afterRevision,
            Consumer<Either<FeedError, FeedResult>> result) {}
}
