package io.masticpond.daemon.logging;

import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.encoder.Encoder;
import ch.qos.logback.core.encoder.LayoutWrappingEncoder;
import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import net.logstash.logback.composite.JsonProviders;
import net.logstash.logback.composite.loggingevent.ArgumentsJsonProvider;
import net.logstash.logback.composite.loggingevent.LogLevelJsonProvider;
import net.logstash.logback.composite.loggingevent.LoggerNameJsonProvider;
import net.logstash.logback.composite.loggingevent.LoggingEventFormattedTimestampJsonProvider;
import net.logstash.logback.composite.loggingevent.LoggingEventThreadNameJsonProvider;
import net.logstash.logback.composite.loggingevent.StackTraceJsonProvider;
import net.logstash.logback.encoder.LoggingEventCompositeJsonEncoder;
import net.logstash.logback.mask.MaskingJsonGeneratorDecorator;

/**
 * Format of log lines.
 *
 * @since 0.1
 */
public enum LogFormat {
    /** Human-readable text. */
    TEXT {
        @Override
        Encoder<ILoggingEvent> encoder(LoggerContext context) {
            LayoutWrappingEncoder<ILoggingEvent> encoder = new LayoutWrappingEncoder<>();
            RedactingLayout layout = new RedactingLayout();
            layout.setContext(context);
            layout.start();
            encoder.setContext(context);
            encoder.setCharset(StandardCharsets.UTF_8);
            encoder.setLayout(layout);
            return encoder;
        }
    },
    /** Machine-readable: one JSON object per line. */
    JSON {
        @Override
        Encoder<ILoggingEvent> encoder(LoggerContext context) {
            LoggingEventCompositeJsonEncoder encoder = new LoggingEventCompositeJsonEncoder();
            JsonProviders<ILoggingEvent> providers = encoder.getProviders();
            providers.addProvider(new LoggingEventFormattedTimestampJsonProvider());
            providers.addProvider(new LogLevelJsonProvider());
            providers.addProvider(new PartJsonProvider());
            providers.addProvider(new ArgumentsJsonProvider());
            providers.addProvider(new LoggingEventThreadNameJsonProvider());
            providers.addProvider(new LoggerNameJsonProvider());
            providers.addProvider(new StackTraceJsonProvider());
            MaskingJsonGeneratorDecorator masking = new MaskingJsonGeneratorDecorator();
            masking.addValue(LogText.SECRET.pattern());
            masking.setDefaultMask(LogText.MASK);
            masking.start();
            encoder.setJsonGeneratorDecorator(masking);
            encoder.setContext(context);
            return encoder;
        }
    };

    /** Creates an encoder that is not started. */
    abstract Encoder<ILoggingEvent> encoder(LoggerContext context);

    /**
     * Parses the text form.
     *
     * @param text the name in lower case
     * @return the format
     * @throws IllegalArgumentException if no format has that name
     */
    @JsonCreator
    public static LogFormat parse(String text) {
        for (LogFormat format : values()) {
            if (format.text().equals(text)) {
                return format;
            }
        }
        throw new IllegalArgumentException(
                "A log format must be text or json, but was '" + text + "'.");
    }

    /**
     * Returns the text form.
     *
     * @return the name in lower case
     */
    @JsonValue
    public String text() {
        return name().toLowerCase(Locale.ROOT);
    }
}
