package io.masticpond.command.task;

import io.masticpond.command.client.InstanceAddress;
import java.util.List;
import picocli.CommandLine.ITypeConverter;
import picocli.CommandLine.TypeConversionException;

/** Converter for a list of instance addresses. */
final class InstancesConverter implements ITypeConverter<List<InstanceAddress>> {

    @Override
    public List<InstanceAddress> convert(String text) {
        try {
            return InstanceAddress.parseAll(text);
        } catch (IllegalArgumentException e) {
            throw new TypeConversionException(e.getMessage());
        }
    }
}
