package io.masticpond.daemon.instance;

import io.masticpond.core.id.InstanceId;
import io.masticpond.protocol.generated.Envelope;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

/**
 * Sends messages to other instances and takes theirs.
 *
 * <p>Safe for all threads; nothing blocks. A connection is made when a message needs one.
 *
 * @since 0.1
 */
public interface InstanceLinks {

    /**
     * Sends a request and awaits the answer to it.
     *
     * @param to the instance to ask
     * @param request the request; its call id is filled in
     * @param timeout how long to wait for the answer
     * @return the answer or why there is none; completes on the thread of the links, never
     *     exceptionally, so hand the result to a duty and do no work in a callback
     */
    CompletableFuture<Either<LinkError, Envelope>> call(
            InstanceId to, Envelope request, Duration timeout);

    /**
     * Sends a message that no answer is awaited for.
     *
     * @param to the instance to tell
     * @param message the message
     * @return whether the queue took it; it may still be lost
     */
    boolean send(InstanceId to, Envelope message);

    /**
     * Says where an instance is reached, in place of what was said before.
     *
     * @param id the instance
     * @param ipAndPort its link address, as "ip:port"
     */
    void address(InstanceId id, String ipAndPort);

    /**
     * Connects to whatever instance is at an address; a {@link LinkListener} learns which it is.
     *
     * @param ipAndPort the link address, as "ip:port"
     */
    void contact(String ipAndPort);

    /**
     * Closes the connections to an instance and forgets its address.
     *
     * @param id the instance
     */
    void forget(InstanceId id);

    /**
     * Gives the instances that a connection is ready to.
     *
     * @return a copy
     */
    Set<InstanceId> connected();

    /**
     * Takes the requests and messages of one kind; replaces an earlier handler of the kind.
     *
     * @param body the kind
     * @param handler what takes them
     */
    void handle(Envelope.BodyCase body, EnvelopeHandler handler);

    /**
     * Adds a listener to connections that come and go.
     *
     * @param listener the listener
     */
    void addListener(LinkListener listener);

    /**
     * Counts what the links did since the start.
     *
     * @return the counts
     */
    LinkStatistics statistics();
}
