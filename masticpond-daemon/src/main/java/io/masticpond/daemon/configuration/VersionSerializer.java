package io.masticpond.daemon.configuration;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.databind.SerializerProvider;
import com.fasterxml.jackson.databind.ser.std.StdSerializer;
import io.masticpond.core.id.ConfigurationVersion;
import java.io.IOException;

/** Serializer of a configuration version as a number. */
final class VersionSerializer extends StdSerializer<ConfigurationVersion> {

    private static final long serialVersionUID = 1;

    VersionSerializer() {
        super(ConfigurationVersion.class);
    }

    @Override
    public void serialize(
            ConfigurationVersion version, JsonGenerator generator, SerializerProvider provider)
            throws IOException {
        generator.writeNumber(version.number());
    }
}
