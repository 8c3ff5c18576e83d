package io.masticpond.core.statement;

import io.masticpond.core.placement.ReportedLoad;
import io.masticpond.core.serverlimit.LimitHeader;
import io.masticpond.core.support.Assert;
import java.time.Duration;
import java.util.Optional;

/**
 * Statement of a backend server about itself in the head of one answer.
 *
 * @param limit the limit header
 * @param load the reported load, empty if the answer has none
 * @param leaving the leaving header
 * @param pause the pause header
 * @since 0.2
 */
public record ServerStatement(
        LimitHeader limit, Optional<ReportedLoad> load, LeavingHeader leaving, PauseHeader pause) {

    /**
     * Shortest pause that counts as a withdrawal; a shorter one conveys no more than the refusal
     * that requests it.
     */
    private static final Duration SHORTEST_PAUSE = Duration.ofMillis(100);

    /** Statement of an answer without any of the headers. */
    public static final ServerStatement NONE =
            new ServerStatement(
                    LimitHeader.ABSENT, Optional.empty(), LeavingHeader.ABSENT, PauseHeader.ABSENT);

    /** Checks that no component is {@code null}. */
    public ServerStatement {
        Assert.notNull(limit, "A limit");
        Assert.notNull(load, "A load");
        Assert.notNull(leaving, "A leaving header");
        Assert.notNull(pause, "A pause");
    }

    /**
     * Determines whether the server refuses requests temporarily or permanently, so that a refusal
     * is not a sign of a fault.
     *
     * @return whether it is leaving or requests a pause of at least 100 ms
     */
    public boolean isWithdrawing() {
        return leaving == LeavingHeader.LEAVING || pause.length().compareTo(SHORTEST_PAUSE) >= 0;
    }
}
