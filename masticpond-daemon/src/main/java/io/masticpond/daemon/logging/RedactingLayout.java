package io.masticpond.daemon.logging;

import ch.qos.logback.classic.PatternLayout;
import ch.qos.logback.classic.pattern.ClassicConverter;
import ch.qos.logback.classic.spi.ILoggingEvent;

/** Layout for human-readable log lines that shows the part of the system and redacts secrets. */
final class RedactingLayout extends PatternLayout {

    private static final String PATTERN =
            "%d{yyyy-MM-dd'T'HH:mm:ss.SSS'Z',UTC} %-5level %-8part  %sentence [%thread]%n%ex{12}";

    RedactingLayout() {
        getInstanceConverterMap().put("part", PartConverter::new);
        getInstanceConverterMap().put("sentence", SentenceConverter::new);
        setPattern(PATTERN);
    }

    @Override
    public String doLayout(ILoggingEvent event) {
        return LogText.redact(super.doLayout(event));
    }

    /** Converter that writes the part of a log event. */
    static final class PartConverter extends ClassicConverter {

        @Override
        public String convert(ILoggingEvent event) {
            return LogText.partOf(event);
        }
    }

    /** Converter that writes the sentence of a log event. */
    static final class SentenceConverter extends ClassicConverter {

        @Override
        public String convert(ILoggingEvent event) {
            return LogText.sentenceOf(event);
        }
    }
}
