package io.masticpond.core.admission;

import io.masticpond.core.configuration.BackendServerSpecification;
import io.masticpond.core.id.BackendServerId;
import io.masticpond.core.id.RequestId;
import io.masticpond.core.request.RequestHead;
import java.util.List;

/**
 * Strategy interface for the admission of the requests of one shard to the slots of its backend
 * servers, with a queue for requests that must wait.
 *
 * <p>Implementations are state machines for use by a single thread, which never block and read the
 * time only from the given time source. They pass their decisions to an {@link AdmissionSink}
 * before the method returns. Every offered request results in exactly one dispatch or one refusal,
 * unless it is cancelled first; every dispatch must be ended by exactly one call of {@link
 * #complete}.
 *
 * @since 0.1
 */
public interface Admission {

    /**
     * Replaces the backend servers and this admitter's share of their slots. Requests in flight at
     * a removed server continue and are counted until they complete. An empty list, by which an
     * instance hands over to another admitter, refuses all waiting requests.
     *
     * @param servers the backend servers of the shard
     * @param share which of their slots this instance may use
     */
    void configure(List<BackendServerSpecification> servers, SlotShare share);

    /**
     * Offers a request, which is dispatched, queued or refused.
     *
     * @param request the request; its id must not be in use here
     */
    void offer(RequestHead request);

    /**
     * Cancels a waiting request. A request that was dispatched is not affected.
     *
     * @param request the request
     * @return whether it was waiting, and therefore did not run
     */
    boolean cancel(RequestId request);

    /**
     * Ends a dispatch and assigns its slot to the next waiting request.
     *
     * @param request the request
     * @param outcome how the attempt ended
     */
    void complete(RequestId request, AttemptOutcome outcome);

    /**
     * Handles a signal of a backend server about its own state, which may be outdated or wrong.
     *
     * @param server the backend server
     * @param signal the signal
     */
    void observe(BackendServerId server, BackendServerSignal signal);

    /**
     * Advances to the current time: refuses requests that can no longer meet their deadlines, and
     * dispatches those for which a slot is free.
     *
     * <p>Must be called several times a second even when idle, since a long time without any call
     * counts as a pause of the process.
     */
    void advance();

    /**
     * Returns the current counts of usable slots and of requests in flight and waiting.
     *
     * @return the counts
     */
    Headroom headroom();
}
