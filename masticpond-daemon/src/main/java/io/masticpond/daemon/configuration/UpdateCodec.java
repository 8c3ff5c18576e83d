package io.masticpond.daemon.configuration;

import com.google.protobuf.ByteString;
import io.masticpond.core.configuration.ConfigurationUpdate;
import io.masticpond.core.id.ConfigurationVersion;
import io.masticpond.core.support.Assert;
import io.masticpond.protocol.generated.ConfigurationPush;
import io.vavr.control.Either;

/** Codec between updates of the configuration and messages between instances. */
final class UpdateCodec {

    private final ConfigurationCodec mCodec;

    UpdateCodec(ConfigurationCodec codec) {
        mCodec = Assert.notNull(codec, "A configuration codec");
    }

    ConfigurationPush encode(ConfigurationVersion version, ConfigurationUpdate update) {
        return ConfigurationPush.newBuilder()
                .setVersion(version.number())
                .setDocument(ByteString.copyFrom(DeflatedDocument.deflate(mCodec.encode(update))))
                .build();
    }

    /** Creates the message which states that there is no newer version. */
    static ConfigurationPush nothingNewer(ConfigurationVersion version) {
        return ConfigurationPush.newBuilder().setVersion(version.number()).build();
    }

    /** Returns the update, or the reason why the message cannot be read, as one sentence. */
    Either<String, ConfigurationUpdate> decode(ConfigurationPush push) {
        return DeflatedDocument.inflate(
                        push.getDocument().toByteArray(), DeflatedDocument.MAXIMUM_BYTES)
                .flatMap(
                        document ->
                                mCodec.decode(document, ConfigurationUpdate.class)
                                        .mapLeft(fault -> fault.path() + ": " + fault.message()));
    }
}
