package io.masticpond.daemon.configuration;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.databind.DeserializationContext;
import com.fasterxml.jackson.databind.deser.std.StdDeserializer;
import io.masticpond.core.id.ConfigurationVersion;
import java.io.IOException;

/** Deserializer of a configuration version from a number. */
final class VersionDeserializer extends StdDeserializer<ConfigurationVersion> {

    private static final long serialVersionUID = 1;

    VersionDeserializer() {
        super(ConfigurationVersion.class);
    }

    @Override
    public ConfigurationVersion deserialize(JsonParser parser, DeserializationContext context)
            throws IOException {
        return new ConfigurationVersion(_parseLongPrimitive(parser, context));
    }
}
