package io.masticpond.daemon.configuration;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.json.JsonReadFeature;
import com.fasterxml.jackson.databind.DeserializationContext;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.MapperFeature;
import com.fasterxml.jackson.databind.deser.std.FromStringDeserializer;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.module.SimpleModule;
import com.fasterxml.jackson.databind.ser.std.ToStringSerializer;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import io.masticpond.core.id.BackendServerId;
import io.masticpond.core.id.ConfigurationVersion;
import io.masticpond.core.id.Identifiers;
import io.masticpond.core.id.OperationName;
import io.masticpond.core.id.PlanId;
import io.masticpond.core.id.RegionId;
import io.masticpond.core.id.ServiceId;
import io.masticpond.core.id.SiteId;
import io.masticpond.core.id.ZoneId;
import java.time.Instant;
import java.time.LocalTime;
import java.util.function.Function;

/** Factory of the mapper between JSON documents and the records of core.configuration. */
final class ConfigurationMapper {

    private ConfigurationMapper() {}

    /**
     * Creates a mapper that rejects unknown fields, duplicate fields and text after the document.
     *
     * @return the mapper, which is thread-safe
     */
    static JsonMapper create() {
        return JsonMapper.builder()
                .enable(JsonReadFeature.ALLOW_JAVA_COMMENTS)
                .enable(JsonParser.Feature.STRICT_DUPLICATE_DETECTION)
                .enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
                .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
                .enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
                .disable(DeserializationFeature.ACCEPT_FLOAT_AS_INT)
                .disable(MapperFeature.ALLOW_COERCION_OF_SCALARS)
                .disable(MapperFeature.AUTO_DETECT_IS_GETTERS)
                .defaultPropertyInclusion(
                        JsonInclude.Value.construct(
                                JsonInclude.Include.NON_ABSENT, JsonInclude.Include.ALWAYS))
                .addModule(new Jdk8Module())
                .addModule(identifierModule())
                .build();
    }

    private static SimpleModule identifierModule() {
        SimpleModule module = new SimpleModule("masticpond-identifiers");
        addTextType(
                module,
                BackendServerId.class,
                text -> new BackendServerId(Identifiers.check(text, "A backend server id")));
        addTextType(module, OperationName.class, OperationName::new);
        addTextType(module, PlanId.class, PlanId::new);
        addTextType(
                module,
                RegionId.class,
                text -> new RegionId(Identifiers.check(text, "A region id")));
        addTextType(
                module,
                ServiceId.class,
                text -> new ServiceId(Identifiers.check(text, "A service id")));
        addTextType(module, SiteId.class, SiteId::new);
        addTextType(module, ZoneId.class, text -> new ZoneId(Identifiers.check(text, "A zone id")));
        addTextType(module, LocalTime.class, LocalTime::parse);
        addTextType(module, Instant.class, Instant::parse);
        module.addSerializer(ConfigurationVersion.class, new VersionSerializer());
        module.addDeserializer(ConfigurationVersion.class, new VersionDeserializer());
        return module;
    }

    private static <T> void addTextType(
            SimpleModule module, Class<T> type, Function<String, T> parser) {
        module.addSerializer(type, new ToStringSerializer(type));
        module.addDeserializer(type, new TextDeserializer<>(type, parser));
    }

    /** Deserializer of a value from its text. */
    private static final class TextDeserializer<T> extends FromStringDeserializer<T> {

        private static final long serialVersionUID = 1;

        private final transient Function<String, T> mParser;

        TextDeserializer(Class<T> type, Function<String, T> parser) {
            super(type);
            mParser = parser;
        }

        @Override
        protected T _deserialize(String text, DeserializationContext context) {
            return mParser.apply(text);
        }
    }
}
