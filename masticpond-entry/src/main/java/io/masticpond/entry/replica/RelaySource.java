package io.masticpond.entry.replica;

import io.masticpond.protocol.generated.relay.RelayAnswer;
import io.masticpond.protocol.generated.relay.RelayAsk;
import java.util.function.Consumer;

/** Strategy interface for answering requests of peers. Confined to the control thread. */
interface RelaySource {

    /**
     * Answers a request at once.
     *
     * @param request the request
     * @return the changes that the requester lacks
     */
    RelayAnswer answer(RelayAsk request);

    /**
     * Answers a request at once, or as soon as there is a change if the requester waits for it.
     *
     * @param request the request
     * @param result receives the changes that the requester lacks, exactly once
     * @return cancels the request when run
     */
    default Runnable hold(RelayAsk request, Consumer<RelayAnswer> result) {
        result.accept(answer(request));
        return () -> {};
    }
}
