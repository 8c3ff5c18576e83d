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

/**
 * Local copies as the source of relay requests and the target of the answers. Confined to the
 * control thread.
 */
final class RelayedCopies {

    private final Collection<CategoryCopy> mCopies;
    private final TimeSource mTime;
    private final RelayCodec mCodec = new RelayCodec();

    /**
     * Creates an instance.
     *
     * @param copies the copies to which the answers are applied
     * @param time the clocks
     */
    RelayedCopies(Collection<CategoryCopy> copies, TimeSource time) {
        mCopies = copies;
        mTime = time;
    }

    /** Returns the revision of the newest known document or deletion. */
    long knownRevision() {
        return mCopies.stream().mapToLong(CategoryCopy::contentRevision).max().orElse(0);
    }

    /**
     * Builds a request for the changes that the copies lack.
     *
     * @param wait how long its answer may be held back
     * @return the request
     */
    RelayAsk buildRequest(Duration wait) {
        RelayAsk.Builder request = RelayAsk.newBuilder().setWaitMs((int) wait.toMillis());
        for (CategoryCopy copy : mCopies) {
            CategoryAsk.Builder part = CategoryAsk.newBuilder().setCategory(copy.category().name());
            if (copy.isListed()) {
                part.setAfterRevision(copy.revision());
            }
            request.addCategories(part);
        }
        return request.build();
    }

    /**
     * Applies the valid parts of an answer.
     *
     * @param answer the answer
     * @return one sentence that describes the first invalid part, or empty
     */
    Optional<String> apply(RelayAnswer answer) {
        Optional<String> error = Optional.empty();
        for (CategoryAnswer part : answer.getCategoriesList()) {
            Optional<String> partError = apply(part);
            error = error.isPresent() ? error : partError;
        }
        return error;
    }

    private Optional<String> apply(CategoryAnswer answer) {
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
