package io.masticpond.entry.replica;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import io.masticpond.core.time.Moment;
import io.masticpond.entry.replica.CategoryCopy.CopyPart;
import io.masticpond.entry.replica.CategoryCopy.TimestampedDocument;
import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

class CategoryCopyTest implements CopyListener {

    private final List<String> mReceived = new ArrayList<>();
    private final CategoryCopy mCopy = new CategoryCopy(Category.BACKEND_SERVERS, this);

    @Override
    public void changed(StoredDocument document, long stateNanos) {
        mReceived.add(document.name() + "@" + document.revision());
    }

    @Override
    public void removed(String name, long revision) {
        mReceived.add("-" + name);
    }

    @Example
    void ignoresListsOlderThanTheCopy() {
        mCopy.applyList(List.of(live("a", 5)), 10, CopySource.STORE, 0);
        mCopy.applyList(List.of(live("a", 4), live("b", 8)), 9, CopySource.PEER, 0);
        assertThat(mReceived).containsExactly("a@5");
        assertThat(mCopy.revision()).isEqualTo(10);
    }

    @Example
    void tombstonesOverrideOlderEntriesAndYieldToNewerOnes() {
        mCopy.applyList(List.of(live("a", 5)), 10, CopySource.STORE, 0);
        mCopy.applyChanges(List.of(deletion("a", 12)), 12, CopySource.STORE, 0);
        mCopy.applyChanges(List.of(live("a", 11)), 12, CopySource.PEER, 0);
        assertThat(mCopy.status(new Moment(0, 0)).documents()).isZero();
        mCopy.applyChanges(List.of(live("a", 13)), 13, CopySource.STORE, 0);
        assertThat(mReceived).containsExactly("a@5", "-a", "a@13");
    }

    @Example
    void keepsDocumentsNewerThanTheRevisionOfTheirList() {
        mCopy.applyList(List.of(live("a", 5), live("b", 14)), 10, CopySource.STORE, 0);
        mCopy.applyList(List.of(live("a", 5)), 12, CopySource.PEER, 0);
        assertThat(mReceived).containsExactly("a@5", "b@14");
        mCopy.applyList(List.of(live("a", 5)), 15, CopySource.STORE, 0);
        assertThat(mReceived).last().isEqualTo("-b");
    }

    @Example
    void returnsChangesWhileTombstonesAreKeptAndThenTheCompleteContent() {
        mCopy.applyList(List.of(live("a", 5), live("b", 6)), 10, CopySource.STORE, 0);
        mCopy.applyChanges(List.of(deletion("a", 12)), 12, CopySource.STORE, 100);
        CopyPart changes = mCopy.since(10, 100);
        assertThat(changes.whole()).isFalse();
        assertThat(changes.documents())
                .singleElement()
                .matches(timestamped -> timestamped.document().deleted());
        mCopy.forgetTombstones(101);
        CopyPart whole = mCopy.since(10, 200);
        assertThat(whole.whole()).isTrue();
        assertThat(whole.documents())
                .singleElement()
                .matches(timestamped -> hasName(timestamped, "b"));
        assertThat(mCopy.since(12, 200).documents()).isEmpty();
    }

    @Property(seed = "20", tries = 200)
    void convergesToThePeerThatFeedsIt(
            @ForAll @Size(max = 30) List<@IntRange(max = 9) Integer> steps,
            @ForAll @IntRange(max = 30) int fedAfter) {
        CategoryCopy peer = new CategoryCopy(Category.BACKEND_SERVERS, this);
        CategoryCopy other = new CategoryCopy(Category.BACKEND_SERVERS, this);
        peer.applyList(List.of(), 1, CopySource.STORE, 0);
        long revision = 1;
        for (int step : steps) {
            revision++;
            String name = "n" + step / 2;
            TimestampedDocument timestamped =
                    step % 2 == 0 ? live(name, revision) : deletion(name, revision);
            peer.applyChanges(List.of(timestamped), revision, CopySource.STORE, 0);
            if (revision % (fedAfter + 1) == 0) {
                feed(peer, other);
            }
        }
        feed(peer, other);
        assertThat(names(other)).isEqualTo(names(peer));
        assertThat(other.revision()).isEqualTo(peer.revision());
    }

    private static void feed(CategoryCopy peer, CategoryCopy other) {
        other.applyPart(peer.since(other.isListed() ? other.revision() : -1, 0), 0);
    }

    private static List<String> names(CategoryCopy copy) {
        return copy.since(-1, 0).documents().stream()
                .map(
                        timestamped ->
                                timestamped.document().name()
                                        + "@"
                                        + timestamped.document().revision())
                .sorted()
                .toList();
    }

    private static boolean hasName(TimestampedDocument timestamped, String name) {
        return timestamped.document().name().equals(name);
    }

    private static TimestampedDocument live(String name, long revision) {
        return timestamped(name, revision, false);
    }

    private static TimestampedDocument deletion(String name, long revision) {
        return timestamped(name, revision, true);
    }

    private static TimestampedDocument timestamped(String name, long revision, boolean deleted) {
        return new TimestampedDocument(
                new StoredDocument(
                        Category.BACKEND_SERVERS,
                        name,
                        revision,
                        deleted,
                        JsonNodeFactory.instance.nullNode()),
                0);
    }
}
