package io.masticpond.entry.log;

import com.fasterxml.jackson.core.JsonGenerator;
import io.masticpond.core.body.BodyDirection;
import io.masticpond.core.id.BackendServerId;
import io.masticpond.core.id.ServiceId;
import java.io.IOException;

/**
 * Change in the limits of the bodies that this instance holds or sends.
 *
 * @since 0.3
 */
public sealed interface BodyChange extends ViewChange {

    /**
     * Exhaustion of the body budget in a direction, or its end.
     *
     * @param direction the direction
     * @param exhausted whether bodies are refused or wait
     * @param heldBytes the bytes held in this direction
     * @param limitBytes the limit of this direction
     */
    record Budget(BodyDirection direction, boolean exhausted, long heldBytes, long limitBytes)
            implements BodyChange {

        @Override
        public String event() {
            return "body-budget";
        }

        @Override
        public void write(JsonGenerator line) throws IOException {
            line.writeStringField("direction", EnumNames.toName(direction));
            line.writeStringField("state", exhausted ? "exhausted" : "free");
            line.writeNumberField("heldBytes", heldBytes);
            line.writeNumberField("limitBytes", limitBytes);
        }
    }

    /**
     * Limit of the request bodies in flight to a server that was learned from a termination.
     *
     * @param server the server that terminated
     * @param service the service to which the limit applies
     * @param inFlightBytes the bytes that were in flight to the server
     * @param limitBytes the limit for each server of the service
     */
    record ServerLimit(
            BackendServerId server, ServiceId service, long inFlightBytes, long limitBytes)
            implements BodyChange {

        @Override
        public String event() {
            return "body-limit";
        }

        @Override
        public void write(JsonGenerator line) throws IOException {
            line.writeStringField("server", LineText.of(server.value()));
            line.writeStringField("service", LineText.of(service.value()));
            line.writeStringField("state", "learned");
            line.writeNumberField("inFlightBytes", inFlightBytes);
            line.writeNumberField("limitBytes", limitBytes);
        }
    }
}
