package io.masticpond.daemon.instance;

import io.masticpond.core.id.Incarnation;
import io.masticpond.protocol.generated.Envelope;
import java.util.Optional;

/** Learns what happens on a connection, on the thread of the links. */
interface ConnectionOwner {

    /** Says why a run of an instance is not welcome, if so. */
    Optional<String> rejectionReason(Incarnation peer);

    /** The connection is authenticated and takes messages. */
    void ready(Connection connection);

    /** The connection takes messages again after it was full. */
    void writable(Connection connection);

    /** The connection closed; {@link Connection#isReady} tells whether it ever was ready. */
    void closed(Connection connection, String reason);

    /** A request or a message came in. */
    void received(Connection connection, Envelope envelope);
}
