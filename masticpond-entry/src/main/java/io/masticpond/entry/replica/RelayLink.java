package io.masticpond.entry.replica;

import io.masticpond.core.fleet.ServerAddress;
import io.masticpond.protocol.generated.relay.RelayAnswer;
import io.masticpond.protocol.generated.relay.RelayAsk;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.function.Consumer;

/** Carries an ask to a peer and brings its answer back, on the control thread. */
interface RelayLink {

    /**
     * Asks a peer.
     *
     * @param address the peer
     * @param ask the ask
     * @param timeout how long the whole may take
     * @param result hears the answer or one sentence that says why there is none, once
     */
    void request(
            ServerAddress address,
            RelayAsk ask,
            Duration timeout,
            Consumer<Either<String, RelayAnswer>> result);
}
