package io.masticpond.entry.replica;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.function.Consumer;

/**
 * Strategy interface for a small call that shows whether the store answers this instance.
 *
 * <p>Called from the control thread, on which results are also delivered.
 *
 * @since 0.2
 */
public interface StoreProbe {

    /**
     * Makes the call.
     *
     * @param timeout how long it may take
     * @param result receives the success or the reason for the failure
     */
    void probe(Duration timeout, Consumer<Either<FeedError, Void>> result);

    /**
     * Returns whether the call is cheap enough to be made every second.
     *
     * @return whether it is cheap; if not, it is made only while the store is failing
     */
    boolean isCheap();
}
