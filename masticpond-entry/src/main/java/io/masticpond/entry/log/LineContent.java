package io.masticpond.entry.log;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;

/**
 * Content of a line, written by the logging thread.
 *
 * @since 0.2
 */
interface LineContent {

    /**
     * Returns the name of the event that the line describes.
     *
     * @return the name, in lower case words joined by hyphens
     */
    String event();

    /**
     * Writes the fields of the line into the JSON object that is open.
     *
     * @param line the generator of the JSON object
     * @throws IOException never in practice, as the output is in memory
     */
    void write(JsonGenerator line) throws IOException;
}
