package io.masticpond.daemon.instance;

import io.masticpond.core.id.Incarnation;
import io.masticpond.protocol.generated.Envelope;
import java.util.Optional;

/** Callback interface for the events of a connection, invoked on the event loop of the links. */
interface ConnectionOwner {

    /** Returns why an incarnation of an instance is rejected, or empty if it is accepted. */
    Optional<String> rejectionReason(Incarnation peer);

    /** Invoked when the connection is authenticated and accepts messages. */
    void ready(Connection connection);

    /** Invoked when the connection accepts messages again after its write buffer was full. */
    void writable(Connection connection);

    /**
     * Invoked when the connection was closed; {@link Connection#isReady} returns whether it ever
     * was ready.
     */
    void closed(Connection connection, String reason);

    /** Invoked when a request or a message was received. */
    void received(Connection connection, Envelope envelope);
}
