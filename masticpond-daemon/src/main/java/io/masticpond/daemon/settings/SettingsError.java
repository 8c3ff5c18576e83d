package io.masticpond.daemon.settings;

import java.util.List;

/**
 * Error that lists all faults of a settings file.
 *
 * @param file the name of the file, as given
 * @param faults one sentence per fault, with the key, the value found and the values allowed
 * @since 0.1
 */
public record SettingsError(String file, List<String> faults) {

    /** Copies the list. */
    public SettingsError {
        faults = List.copyOf(faults);
    }
}
