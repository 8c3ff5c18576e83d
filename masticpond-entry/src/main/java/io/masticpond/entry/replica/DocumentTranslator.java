package io.masticpond.entry.replica;

import com.fasterxml.jackson.databind.JsonNode;
import io.masticpond.core.fleet.RegisteredServer;
import io.masticpond.core.routing.RoutingConfiguration;
import io.vavr.control.Either;

/**
 * Turns the platform's documents into the system's terms. Safe for all threads.
 *
 * @since 0.2
 */
public interface DocumentTranslator {

    /**
     * Reads a routing configuration.
     *
     * @param content the platform's document
     * @return the configuration, or one sentence that says what is wrong with it
     */
    Either<String, RoutingConfiguration> routing(JsonNode content);

    /**
     * Reads a backend server.
     *
     * @param name the name of the object, which is the id of the server
     * @param content the platform's document
     * @param nowNanos the monotonic time at which the news arrived
     * @return the server, or one sentence that says what is wrong with it
     */
    Either<String, RegisteredServer> server(String name, JsonNode content, long nowNanos);

    /**
     * Tells whether a backend server has reported its state since it registered. Until then nothing
     * says whether it is cold.
     *
     * @param content the platform's document
     * @return whether it has; true where the platform knows no such reports
     */
    default boolean hasReported(JsonNode content) {
        return true;
    }

    /**
     * Reads which run of a backend server wrote a document that can be read.
     *
     * @param content the platform's document
     * @return what it says of the run; nothing where the platform knows no runs
     */
    default ServerReport report(JsonNode content) {
        return ServerReport.SILENT;
    }
}
