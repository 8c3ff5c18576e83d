package io.masticpond.command.view;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;

/**
 * Renderer of a timeline as a self-contained HTML page, which needs no network and no other file.
 *
 * <p>The events are embedded as JSON data, which the script of the page shows as text only, so that
 * the content of an event is never executed by the browser.
 *
 * @since 0.1
 */
public final class TimelinePage {

    private static final String TEMPLATE = "timeline.html";
    private static final String DATA_PLACEHOLDER = "{{timeline}}";
    private static final ObjectMapper sMapper = new ObjectMapper();

    private TimelinePage() {}

    /**
     * Renders a timeline.
     *
     * @param timeline the timeline
     * @return the HTML page
     */
    public static String render(MergedTimeline timeline) {
        try {
            String data = sMapper.writeValueAsString(TimelineJson.documents(timeline));
            return template().replace(DATA_PLACEHOLDER, data.replace("<", "\\u003c"));
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("A time line could not be written.", e);
        }
    }

    private static String template() {
        try (InputStream stream = TimelinePage.class.getResourceAsStream(TEMPLATE)) {
            if (stream == null) {
                throw new IllegalStateException("The template of the page is missing.");
            }
            return new String(stream.readAllBytes(), StandardCharsets.UTF_8);
        } catch (IOException e) {
            throw new UncheckedIOException("The template of the page can't be read.", e);
        }
    }
}
