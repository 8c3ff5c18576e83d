package io.masticpond.core.statement;

import io.masticpond.core.placement.ReportedLoad;
import io.masticpond.core.serverlimit.LimitHeader;
import io.masticpond.core.support.Assert;
import java.time.Duration;
import java.util.Optional;

/**
 * What a backend server states of itself in the head of one answer.
 *
 * @param limit the limit that it names
 * @param load the load that it tells, if it tells one
 * @param leaving whether it leaves
 * @param pause the pause that it asks for
 * @since 0.2
 */
public record ServerStatement(
        LimitHeader limit, Optional<ReportedLoad> load, LeavingHeader leaving, PauseHeader pause) {

    /** A shorter pause says no more than the refusal that asks for it. */
    private static final Duration SHORTEST_PAUSE = Duration.ofMillis(100);

    /** An answer that states nothing. */
    public static final ServerStatement NONE =
            new ServerStatement(
                    LimitHeader.ABSENT, Optional.empty(), LeavingHeader.ABSENT, PauseHeader.ABSENT);

    /** Checks that the parts are given. */
    public ServerStatement {
        Assert.notNull(limit, "A limit");
        Assert.notNull(load, "A load");
        Assert.notNull(leaving, "A word on leaving");
        Assert.notNull(pause, "A pause");
    }

    /**
     * Tells whether the server wants no requests for a time or for good, so that a refusal is no
     * sign of a fault.
     *
     * @return whether it leaves or asks for a pause that is worth the name
     */
    public boolean isWithdrawing() {
        return leaving == LeavingHeader.LEAVING || pause.length().compareTo(SHORTEST_PAUSE) >= 0;
    }
}
