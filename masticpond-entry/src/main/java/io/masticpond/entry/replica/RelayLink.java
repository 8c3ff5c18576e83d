package io.masticpond.entry.replica;

import io.masticpond.core.fleet.ServerAddress;
import io.masticpond.protocol.generated.relay.RelayAnswer;
import io.masticpond.protocol.generated.relay.RelayAsk;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.function.Consumer;

/** Strategy interface for sending a request to a peer. Confined to the control thread. */
interface RelayLink {

    /**
     * Sends a request to a peer.
     *
     * @param address the peer
     * @param request the request
     * @param timeout the timeout of the whole exchange
     * @param result receives the answer, or one sentence that describes the failure, exactly once
     */
    void request(
            ServerAddress address,
            RelayAsk request,
            Duration timeout,
            Consumer<Either<String, RelayAnswer>> result);
}
