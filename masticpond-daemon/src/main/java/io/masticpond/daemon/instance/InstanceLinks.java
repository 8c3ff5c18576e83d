package io.masticpond.daemon.instance;

import io.masticpond.core.id.InstanceId;
import io.masticpond.protocol.generated.Envelope;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

/**
 * Interface for sending messages to other instances and receiving messages from them.
 *
 * <p>Thread-safe and non-blocking. A connection is opened when a message requires one.
 *
 * @since 0.1
 */
public interface InstanceLinks {

    /**
     * Sends a request and returns a future for its answer.
     *
     * @param to the instance that receives the request
     * @param request the request, whose call id is assigned here
     * @param timeout how long to wait for the answer
     * @return the answer, or the error if there is none; completes on the event loop of the links
     *     and never exceptionally, so hand the result to another event loop and do no work in a
     *     callback
     */
    CompletableFuture<Either<LinkError, Envelope>> call(
            InstanceId to, Envelope request, Duration timeout);

    /**
     * Sends a message that expects no answer.
     *
     * @param to the instance that receives the message
     * @param message the message
     * @return whether the message was queued; it may still be lost
     */
    boolean send(InstanceId to, Envelope message);

    /**
     * Sets the address of an instance, replacing any earlier one.
     *
     * @param id the instance
     * @param ipAndPort the link address of the instance, as "ip:port"
     */
    void setAddress(InstanceId id, String ipAndPort);

    /**
     * Connects to the instance at an address without knowing its id; a {@link LinkListener} is
     * notified of the id once the connection is ready.
     *
     * @param ipAndPort the link address, as "ip:port"
     */
    void contact(String ipAndPort);

    /**
     * Closes the connections to an instance and removes its address.
     *
     * @param id the instance
     */
    void removeInstance(InstanceId id);

    /**
     * Returns the instances to which a connection is ready.
     *
     * @return an immutable copy
     */
    Set<InstanceId> connected();

    /**
     * Sets the handler for the requests and messages of one kind, replacing any earlier one.
     *
     * @param body the kind of message
     * @param handler the handler
     */
    void setHandler(Envelope.BodyCase body, EnvelopeHandler handler);

    /**
     * Adds a listener that is notified of established and lost connections.
     *
     * @param listener the listener
     */
    void addListener(LinkListener listener);

    /**
     * Returns the counters since the start of the links.
     *
     * @return a snapshot of the counters
     */
    LinkStatistics statistics();
}
