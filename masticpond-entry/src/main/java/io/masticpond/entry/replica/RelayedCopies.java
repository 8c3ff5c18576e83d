package io.masticpond.entry.replica;

import io.masticpond.core.time.TimeSource;
import io.masticpond.entry.replica.CategoryCopy.CopyPart;
import io.masticpond.protocol.generated.relay.CategoryAnswer;
import io.masticpond.protocol.generated.relay.CategoryAsk;
import io.masticpond.protocol.generated.relay.RelayAnswer;
import io.masticpond.protocol.generated.relay.RelayAsk;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.Collection;
import java.util.Optional;

/** The copies of this instance as it asks peers for what they lack. For the control thread. */
final class RelayedCopies {

    private final Collection<CategoryCopy> mCopies;
    private final TimeSource mTime;
    private final RelayCodec mCodec = new RelayCodec();

    /**
     * Makes it.
     *
     * @param copies what the answers are put into
     * @param time the clocks
     */
    RelayedCopies(Collection<CategoryCopy> copies, TimeSource time) {
        mCopies = copies;
        mTime = time;
    }

    /** Gives the revision of the newest document or deletion that is known. */
    long known() {
        return mCopies.stream().mapToLong(CategoryCopy::contentRevision).max().orElse(0);
    }

    /**
     * Writes an ask.
     *
     * @param wait how long its answer may be held
     * @return the ask
     */
    RelayAsk buildRequest(Duration wait) {
        RelayAsk.Builder ask = RelayAsk.newBuilder().setWaitMs((int) wait.toMillis());
        for (CategoryCopy copy : mCopies) {
            CategoryAsk.Builder part = CategoryAsk.newBuilder().setCategory(copy.category().name());
            if (copy.isListed()) {
                part.setAfterRevision(copy.revision());
            }
            ask.addCategories(part);
        }
        return ask.build();
    }

    /**
     * Takes what is sound of an answer.
     *
     * @param answer the answer
     * @return one sentence that says what is wrong with it, or empty
     */
    Optional<String> take(RelayAnswer answer) {
        Optional<String> fault = Optional.empty();
        for (CategoryAnswer part : answer.getCategoriesList()) {
            Optional<String> wrong = take(part);
            fault = fault.isPresent() ? fault : wrong;
        }
        return fault;
    }

    private Optional<String> take(CategoryAnswer answer) {
        long nowNanos = mTime.monotonicNanos();
        Optional<CategoryCopy> copy =
                mCodec.category(answer.getCategory())
                        .flatMap(
                                category ->
                                        mCopies.stream()
                                                .filter(held -> held.category() == category)
                                                .findFirst());
        if (copy.isEmpty()) {
            return Optional.empty();
        }
        Either<String, CopyPart> read = mCodec.read(copy.get().category(), answer, nowNanos);
        read.peek(part -> copy.get().applyPart(part, nowNanos));
        return read.isLeft() ? Optional.of(read.getLeft()) : Optional.empty();
    }
}
