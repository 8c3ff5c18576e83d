package io.masticpond.entry.replica;

import com.fasterxml.jackson.databind.JsonNode;
import io.masticpond.core.fleet.RegisteredServer;
import io.masticpond.core.id.ZoneId;
import io.masticpond.core.routing.RoutingConfiguration;
import io.masticpond.core.support.Assert;
import io.vavr.control.Either;
import java.util.Set;

/**
 * {@link DocumentTranslator} that accepts only servers in the zones of the deployment. An unknown
 * zone could not be evacuated, and the region of its requests would be undefined. Thread-safe.
 *
 * @since 0.2
 */
public final class KnownZonesTranslator implements DocumentTranslator {

    private final DocumentTranslator mTranslator;
    private final Set<ZoneId> mZones;

    /**
     * Creates a translator that restricts another one.
     *
     * @param translator reads the documents
     * @param zones the availability zones of the deployment
     */
    public KnownZonesTranslator(DocumentTranslator translator, Set<ZoneId> zones) {
        mTranslator = Assert.notNull(translator, "A translator");
        mZones = Set.copyOf(zones);
    }

    @Override
    public Either<String, RoutingConfiguration> routing(JsonNode content) {
        return mTranslator.routing(content);
    }

    @Override
    public Either<String, RegisteredServer> server(String name, JsonNode content, long nowNanos) {
        return mTranslator
                .server(name, content, nowNanos)
                .filterOrElse(
                        server -> mZones.contains(server.zone()),
                        server -> String.format("The zone %s is unknown.", server.zone()));
    }

    @Override
    public boolean hasReported(JsonNode content) {
        return mTranslator.hasReported(content);
    }

    @Override
    public ServerReport report(JsonNode content) {
        return mTranslator.report(content);
    }
}
