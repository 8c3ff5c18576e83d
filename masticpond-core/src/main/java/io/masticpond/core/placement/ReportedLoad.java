package io.masticpond.core.placement;

import java.util.Optional;

/**
 * Load that a backend server reported with an answer.
 *
 * @param running the number of requests that the server is processing
 * @param waiting the number of requests that wait for a slot there
 * @param slots the number of requests that the server processes concurrently
 * @since 0.2
 */
public record ReportedLoad(int running, int waiting, int slots) {

    private static final int MINIMUM_PARTS = 3;

    /**
     * Determines whether the server could start another request immediately. A server that rejects
     * requests although it has a free slot does not lack capacity, and the cause of its rejections
     * lasts longer.
     *
     * @return whether a slot was free and no request waited
     */
    public boolean hasFreeSlot() {
        return waiting == 0 && running < slots;
    }

    /**
     * Parses "running,waiting,slots", possibly followed by further fields, which are ignored.
     *
     * @param text the text, or {@code null}
     * @return the load, or empty if the text is not a valid load
     */
    public static Optional<ReportedLoad> parse(String text) {
        if (text == null) {
            return Optional.empty();
        }
        String[] parts = text.split(",", -1);
        if (parts.length < MINIMUM_PARTS) {
            return Optional.empty();
        }
        try {
            ReportedLoad load =
                    new ReportedLoad(
                            Integer.parseInt(parts[0].trim()),
                            Integer.parseInt(parts[1].trim()),
                            Integer.parseInt(parts[2].trim()));
            boolean isValid = load.running >= 0 && load.waiting >= 0 && load.slots > 0;
            return isValid ? Optional.of(load) : Optional.empty();
        } catch (NumberFormatException e) {
            return Optional.empty();
        }
    }
}
