package io.masticpond.core.placement;

import java.util.Optional;

/**
 * The load that a backend server told with an answer.
 *
 * @param running the requests that it runs
 * @param waiting the requests that wait for a slot there
 * @param slots how many it runs at one time
 * @since 0.2
 */
public record ReportedLoad(int running, int waiting, int slots) {

    private static final int PARTS = 3;

    /**
     * Tells whether the server could begin another request at once. One that turns requests away
     * nevertheless does not want for room, and what keeps it from serving lasts longer.
     *
     * @return whether a slot was free and nothing waited
     */
    public boolean hasFreeSlot() {
        return waiting == 0 && running < slots;
    }

    /**
     * Reads "running,waiting,slots".
     *
     * @param text the text, or null
     * @return the load, or empty if the text is none
     */
    public static Optional<ReportedLoad> parse(String text) {
        if (text == null) {
            return Optional.empty();
        }
        String[] parts = text.split(",", -1);
        if (parts.length != PARTS) {
            return Optional.empty();
        }
        try {
            ReportedLoad load =
                    new ReportedLoad(
                            Integer.parseInt(parts[0].trim()),
                            Integer.parseInt(parts[1].trim()),
                            Integer.parseInt(parts[2].trim()));
            boolean sound = load.running >= 0 && load.waiting >= 0 && load.slots > 0;
            return sound ? Optional.of(load) : Optional.empty();
        } catch (NumberFormatException e) {
            return Optional.empty();
        }
    }
}
