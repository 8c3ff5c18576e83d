package io.masticpond.entry.wiring;

import io.masticpond.entry.replica.FeedError;
import io.masticpond.entry.replica.StoreProbe;
import io.netty.channel.EventLoop;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.function.Consumer;

/** Probe of a store that answers no call. */
record UnreachableProbe(EventLoop control) implements StoreProbe {

    @Override
    public void probe(Duration timeout, Consumer<Either<FeedError, Void>> result) {
        control.execute(() -> result.accept(Either.left(FeedError.UNREACHABLE)));
    }

    @Override
    public boolean isCheap() {
        return true;
    }
}
