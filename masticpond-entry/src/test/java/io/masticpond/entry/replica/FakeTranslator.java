package io.masticpond.entry.replica;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import io.masticpond.core.fleet.RegisteredServer;
import io.masticpond.core.fleet.ServerAddress;
import io.masticpond.core.id.BackendServerId;
import io.masticpond.core.id.ServiceId;
import io.masticpond.core.id.ZoneId;
import io.masticpond.core.routing.RequestLimits;
import io.masticpond.core.routing.RoutingConfiguration;
import io.masticpond.core.routing.ServiceRules;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.stream.Stream;

/**
 * Translator that reads "ready", "leaving", "new" and "cold:" with seconds as servers, optionally
 * followed by "born:" and "seq:" with numbers, and reads numbers as configurations.
 */
final class FakeTranslator implements DocumentTranslator {

    private static final ServiceId ORDERS = new ServiceId("orders");
    private static final ServiceRules RULES =
            new ServiceRules(ORDERS, "/health", 100, Duration.ofSeconds(4), 5);

    static JsonNode text(String entry) {
        return JsonNodeFactory.instance.textNode(entry);
    }

    @Override
    public ServerReport report(JsonNode content) {
        return new ServerReport(number(content, "born:"), number(content, "seq:"));
    }

    private static OptionalLong number(JsonNode content, String prefix) {
        return Stream.of(content.asText().split(" "))
                .filter(word -> word.startsWith(prefix))
                .mapToLong(word -> Long.parseLong(word.substring(prefix.length())))
                .findFirst();
    }

    @Override
    public boolean hasReported(JsonNode content) {
        return !content.asText().equals("new");
    }

    @Override
    public Either<String, RoutingConfiguration> routing(JsonNode content) {
        return content.isNumber()
                ? Either.right(
                        new RoutingConfiguration(
                                content.asLong(),
                                List.of(),
                                Map.of(ORDERS, RULES),
                                RequestLimits.DEFAULT))
                : Either.left("It is not a number.");
    }

    @Override
    public Either<String, RegisteredServer> server(String name, JsonNode content, long nowNanos) {
        String state = content.asText().split(" ")[0];
        if (state.equals("broken")) {
            throw new IllegalArgumentException("It is broken.");
        }
        long coldSeconds = state.startsWith("cold:") ? Long.parseLong(state.substring(5)) : 0;
        return Either.right(
                new RegisteredServer(
                        new BackendServerId(name),
                        ORDERS,
                        new ServerAddress("10.0.0.1", 80),
                        new ZoneId("zone-a"),
                        4,
                        state.equals("leaving"),
                        nowNanos + Duration.ofSeconds(coldSeconds).toNanos()));
    }
}
