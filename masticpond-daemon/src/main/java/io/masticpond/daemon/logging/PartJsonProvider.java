package io.masticpond.daemon.logging;

import ch.qos.logback.classic.spi.ILoggingEvent;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import net.logstash.logback.composite.AbstractJsonProvider;

/** JSON provider that writes the part and the sentence of a log event as two fields. */
final class PartJsonProvider extends AbstractJsonProvider<ILoggingEvent> {

    @Override
    public void writeTo(JsonGenerator generator, ILoggingEvent event) throws IOException {
        generator.writeStringField("part", LogText.partOf(event));
        generator.writeStringField("message", LogText.sentenceOf(event));
    }
}
