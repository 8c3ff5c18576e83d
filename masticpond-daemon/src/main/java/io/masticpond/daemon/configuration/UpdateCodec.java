package io.masticpond.daemon.configuration;

import com.google.protobuf.ByteString;
import io.masticpond.core.configuration.ConfigurationUpdate;
import io.masticpond.core.id.ConfigurationVersion;
import io.masticpond.core.support.Assert;
import io.masticpond.protocol.generated.ConfigurationPush;
import io.vavr.control.Either;

/** Turns news of the configuration into messages between instances, and back. */
final class UpdateCodec {

    private final ConfigurationCodec mCodec;

    UpdateCodec(ConfigurationCodec codec) {
        mCodec = Assert.notNull(codec, "A configuration codec");
    }

    ConfigurationPush encode(ConfigurationVersion version, ConfigurationUpdate news) {
        return ConfigurationPush.newBuilder()
                .setVersion(version.number())
                .setDocument(ByteString.copyFrom(DeflatedDocument.deflate(mCodec.encode(news))))
                .build();
    }

    /** Makes the message that says that there is nothing newer. */
    static ConfigurationPush nothingNewer(ConfigurationVersion version) {
        return ConfigurationPush.newBuilder().setVersion(version.number()).build();
    }

    /** Gives the news, or one sentence that says why the message cannot be read. */
    Either<String, ConfigurationUpdate> decode(ConfigurationPush push) {
        return DeflatedDocument.inflate(
                        push.getDocument().toByteArray(), DeflatedDocument.MAXIMUM_BYTES)
                .flatMap(
                        document ->
                                mCodec.decode(document, ConfigurationUpdate.class)
                                        .mapLeft(fault -> fault.path() + ": " + fault.message()));
    }
}
