package io.masticpond.core.admission;

import io.masticpond.core.configuration.BackendServerSpecification;
import io.masticpond.core.id.BackendServerId;
import io.masticpond.core.id.RequestId;
import io.masticpond.core.request.RequestHead;
import java.util.List;

/**
 * Admits work of one shard to the slots of its backend servers, and queues what must wait.
 *
 * <p>A state machine for one thread: it never blocks and reads time only from the clock that it was
 * given. What it decides it tells an {@link AdmissionSink}, before the method returns. Every
 * request that was offered ends in exactly one dispatch or one refusal, unless it is cancelled
 * first; every dispatch must be ended by exactly one {@link #complete}.
 *
 * @since 0.1
 */
public interface Admission {

    /**
     * Takes the backend servers and this admitter's share of their slots, in place of those before.
     * Work in flight at a server that is gone goes on and is counted until it completes. Without
     * any servers, which is how an instance hands over to another admitter, what waits is refused.
     *
     * @param servers the backend servers of the shard
     * @param share which of their slots this instance may use
     */
    void configure(List<BackendServerSpecification> servers, SlotShare share);

    /**
     * Offers a request: it is dispatched, queued or refused.
     *
     * @param request the request; its id must not be in use here
     */
    void offer(RequestHead request);

    /**
     * Gives up a request that waits; one that was dispatched is not affected.
     *
     * @param request the request
     * @return whether it was waiting, and so did not run
     */
    boolean cancel(RequestId request);

    /**
     * Ends a dispatch and gives its slot to the next request that waits.
     *
     * @param request the request
     * @param outcome how the attempt ended
     */
    void complete(RequestId request, AttemptOutcome outcome);

    /**
     * Takes what a backend server says about itself, which may lag or mislead.
     *
     * @param server the backend server
     * @param sign the sign
     */
    void observe(BackendServerId server, BackendServerSignal sign);

    /**
     * Lets time act: refuses what can no longer meet its deadline, and dispatches what may go.
     *
     * <p>Must be called several times a second also when there is no work, since a long time
     * without any call counts as a pause of the process.
     */
    void advance();

    /**
     * Counts what is free, in flight and waiting now.
     *
     * @return the counts
     */
    Headroom headroom();
}
