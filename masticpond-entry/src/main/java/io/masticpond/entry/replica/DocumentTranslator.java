package io.masticpond.entry.replica;

import com.fasterxml.jackson.databind.JsonNode;
import io.masticpond.core.fleet.RegisteredServer;
import io.masticpond.core.routing.RoutingConfiguration;
import io.vavr.control.Either;

/**
 * Strategy interface for translating the platform's documents into the model of this system.
 * Implementations must be thread-safe.
 *
 * @since 0.2
 */
public interface DocumentTranslator {

    /**
     * Translates a routing configuration.
     *
     * @param content the platform's document
     * @return the configuration, or one sentence that describes the error
     */
    Either<String, RoutingConfiguration> routing(JsonNode content);

    /**
     * Translates a backend server.
     *
     * @param name the name of the object, which is the id of the server
     * @param content the platform's document
     * @param nowNanos the monotonic time at which the document arrived
     * @return the server, or one sentence that describes the error
     */
    Either<String, RegisteredServer> server(String name, JsonNode content, long nowNanos);

    /**
     * Returns whether a backend server has reported its state since it registered. Until then it is
     * unknown whether the server is cold.
     *
     * @param content the platform's document
     * @return whether it has; {@code true} if the platform has no such reports
     */
    default boolean hasReported(JsonNode content) {
        return true;
    }

    /**
     * Returns which run of a backend server wrote a readable document.
     *
     * @param content the platform's document
     * @return the report on the run; empty if the platform does not distinguish runs
     */
    default ServerReport report(JsonNode content) {
        return ServerReport.UNKNOWN;
    }
}
