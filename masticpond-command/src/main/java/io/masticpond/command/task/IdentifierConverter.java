package io.masticpond.command.task;

import java.util.regex.Pattern;
import picocli.CommandLine.ITypeConverter;
import picocli.CommandLine.TypeConversionException;

/**
 * Converter for ids that rejects characters with which an id could change the path of a request.
 */
final class IdentifierConverter implements ITypeConverter<String> {

    private static final Pattern ALLOWED = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,95}");

    @Override
    public String convert(String text) {
        if (!ALLOWED.matcher(text).matches()) {
            throw new TypeConversionException(
                    "An id must have 1 to 96 letters, digits, '.', '_' and '-', but was '"
                            + text
                            + "'.");
        }
        return text;
    }
}
