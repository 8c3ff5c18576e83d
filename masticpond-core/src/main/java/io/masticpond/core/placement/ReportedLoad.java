package io.masticpond.core.placement;

import io.masticpond.core.support.Assert;
import java.math.BigInteger;
import java.util.Optional;
import java.util.OptionalInt;

/**
 * Load that a backend server reported with an answer.
 *
 * @param running the number of requests that the server is processing
 * @param waiting the number of requests that wait for a slot there
 * @param slots the number of requests that the server processes concurrently
 * @param timePercent the current duration of work there in percent of the normal one, positive and
 *     at most 10,000; empty if the server does not report it
 * @since 0.2
 */
public record ReportedLoad(int running, int waiting, int slots, OptionalInt timePercent) {

    /** Maximum duration of work in percent; a greater one is reported as this. */
    public static final int MAXIMUM_TIME_PERCENT = 10_000;

    private static final int MINIMUM_PARTS = 3;

    /** Checks that the duration of work is not {@code null}. */
    public ReportedLoad {
        Assert.notNull(timePercent, "A duration of work");
    }

    /**
     * Creates a load without a duration of work.
     *
     * @param running the number of requests that the server is processing
     * @param waiting the number of requests that wait for a slot there
     * @param slots the number of requests that the server processes concurrently
     */
    public ReportedLoad(int running, int waiting, int slots) {
        this(running, waiting, slots, OptionalInt.empty());
    }

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
     * Parses "running,waiting,slots" or "running,waiting,slots,time". An invalid fourth field
     * counts as absent, and fields after it are ignored.
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
                            Integer.parseInt(parts[2].trim()),
                            parseTimePercent(parts));
            boolean isValid = load.running >= 0 && load.waiting >= 0 && load.slots > 0;
            return isValid ? Optional.of(load) : Optional.empty();
        } catch (NumberFormatException e) {
            return Optional.empty();
        }
    }

    private static OptionalInt parseTimePercent(String[] parts) {
        if (parts.length == MINIMUM_PARTS) {
            return OptionalInt.empty();
        }
        try {
            BigInteger percent = new BigInteger(parts[MINIMUM_PARTS].trim());
            BigInteger maximum = BigInteger.valueOf(MAXIMUM_TIME_PERCENT);
            return percent.signum() > 0
                    ? OptionalInt.of(percent.min(maximum).intValue())
                    : OptionalInt.empty();
        } catch (NumberFormatException e) {
            return OptionalInt.empty();
        }
    }

    /**
     * Determines whether a text is not a load, or has an invalid fourth field.
     *
     * @param text the text, or {@code null} if a server reports no load
     * @return whether at least a part of the text is ignored because it is invalid
     */
    public static boolean isMalformed(String text) {
        if (text == null) {
            return false;
        }
        Optional<ReportedLoad> load = parse(text);
        return load.isEmpty()
                || (load.get().timePercent.isEmpty() && text.split(",", -1).length > MINIMUM_PARTS);
    }
}
