package io.masticpond.core.configuration;

import io.masticpond.core.support.Assert;

/**
 * Validation error at one place of a document.
 *
 * @param path the place as a JSON path, such as "$.services[0].id"
 * @param message a sentence that describes the error
 * @since 0.1
 */
public record ConfigurationFault(String path, String message) {

    /** Validates the components. */
    public ConfigurationFault {
        Assert.hasText(path, "A path");
        Assert.hasText(message, "A message");
    }
}
