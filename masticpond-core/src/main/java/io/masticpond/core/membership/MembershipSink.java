package io.masticpond.core.membership;

import io.masticpond.core.id.Incarnation;
import io.masticpond.core.id.InstanceId;
import java.util.List;

/**
 * Callback interface for the messages that a {@link MembershipTable} sends and the changes that it
 * detects.
 *
 * <p>The methods are called on the thread of the table, from within the table's methods.
 *
 * @since 0.1
 */
public interface MembershipSink {

    /**
     * Sends the heartbeat of this instance together with updates of other members.
     *
     * @param to the receiver
     * @param own this instance's heartbeat
     * @param others updates of other members, often none
     */
    void send(InstanceId to, MemberUpdate own, List<MemberUpdate> others);

    /**
     * Sends the heartbeat of this instance together with updates of all other members that it
     * knows.
     *
     * @param to the receiver
     * @param own this instance's heartbeat
     * @param others updates of all other members
     */
    void sendAll(InstanceId to, MemberUpdate own, List<MemberUpdate> others);

    /**
     * Requests a newer update of a run from an instance.
     *
     * @param to the instance that is queried
     * @param run the run
     * @param sequence the sequence of the newest heartbeat of the run that this instance knows
     */
    void requestUpdate(InstanceId to, Incarnation run, long sequence);

    /**
     * Handles a member that is new, whose run, state, link address or caller address has changed,
     * or that has its first configuration.
     *
     * @param member the current snapshot of the member
     */
    void memberChanged(Member member);
}
