package io.masticpond.entry.wiring;

import com.fasterxml.jackson.databind.JsonNode;
import io.masticpond.core.fleet.RegisteredServer;
import io.masticpond.core.routing.RoutingConfiguration;
import io.masticpond.entry.replica.DocumentTranslator;
import io.vavr.control.Either;

/** Translator that accepts no document. */
final class RejectingTranslator implements DocumentTranslator {

    @Override
    public Either<String, RoutingConfiguration> routing(JsonNode content) {
        return Either.left("There are no documents.");
    }

    @Override
    public Either<String, RegisteredServer> server(String name, JsonNode content, long nowNanos) {
        return Either.left("There are no documents.");
    }
}
