package io.masticpond.core.membership;

import io.masticpond.core.id.Incarnation;
import io.masticpond.core.id.InstanceId;
import java.util.List;

/**
 * Takes what a {@link MembershipTable} decides to send and what it learns.
 *
 * <p>Called on the thread of the table, from within its methods.
 *
 * @since 0.1
 */
public interface MembershipSink {

    /**
     * Sends this instance's own heartbeat, and news of others with it.
     *
     * @param to the receiver
     * @param own this instance's heartbeat
     * @param others news of others, often none
     */
    void send(InstanceId to, MemberUpdate own, List<MemberUpdate> others);

    /**
     * Sends this instance's own heartbeat, and news of all others that it knows.
     *
     * @param to the receiver
     * @param own this instance's heartbeat
     * @param others news of all others
     */
    void sendAll(InstanceId to, MemberUpdate own, List<MemberUpdate> others);

    /**
     * Asks an instance for newer news of a run.
     *
     * @param to the instance asked
     * @param run the run
     * @param sequence the newest heartbeat of it that is known here
     */
    void requestUpdate(InstanceId to, Incarnation run, long sequence);

    /**
     * Tells that a member is new or has another state, run or address than before.
     *
     * @param member the member as it is now
     */
    void memberChanged(Member member);
}
