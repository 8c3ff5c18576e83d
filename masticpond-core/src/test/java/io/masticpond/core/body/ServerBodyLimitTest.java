package io.masticpond.core.body;

import static org.assertj.core.api.Assertions.assertThat;

import io.masticpond.core.fleet.RegisteredServer;
import io.masticpond.core.fleet.ServerAddress;
import io.masticpond.core.id.BackendServerId;
import io.masticpond.core.id.ServiceId;
import io.masticpond.core.id.ZoneId;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.Example;

/** Tests the limit that is learned from servers that terminate under large bodies. */
class ServerBodyLimitTest {

    private static final long KB = 1024;

    private final List<Long> mLearned = new ArrayList<>();
    private final ServerBodyLimit mLimit =
            new ServerBodyLimit((server, inFlight, limit) -> mLearned.add(limit));
    private final RegisteredServer mServer = server("a", false);

    private static RegisteredServer server(String id, boolean leaving) {
        return new RegisteredServer(
                new BackendServerId(id),
                new ServiceId("docs"),
                new ServerAddress("127.0.0.1", 80),
                new ZoneId("zone"),
                6,
                leaving,
                0);
    }

    /** Breaks off all bodies in flight to a server, one by one, and finds that it terminated. */
    private void crash(RegisteredServer server, long nowNanos, long... bodies) {
        for (long each : bodies) {
            mLimit.started(server.id(), each);
        }
        for (long each : bodies) {
            mLimit.ended(server.id(), each);
            mLimit.brokenOff(server.id(), each, nowNanos);
        }
        for (int each = 0; each < bodies.length; each++) {
            mLimit.terminated(server, nowNanos);
        }
    }

    private boolean accepts(long bytes, long nowNanos) {
        return mLimit.accepts(server("b", false), bytes, nowNanos);
    }

    @Example
    void learnsHalfOfTheLargestAmountAtAnyTermination() {
        mLimit.started(new BackendServerId("b"), 360 * KB);
        assertThat(accepts(1 << 30, 0)).isTrue();
        crash(mServer, 0, 360 * KB, 360 * KB, 280 * KB);
        crash(mServer, 0, 360 * KB);
        assertThat(mLearned).containsExactly(500 * KB, 500 * KB);
        assertThat(accepts(140 * KB, 0)).isTrue();
        assertThat(accepts(141 * KB, 0)).isFalse();
        assertThat(accepts(8 * KB, 0)).isTrue();
        mLimit.ended(new BackendServerId("b"), 360 * KB);
        assertThat(accepts(900 * KB, 0)).isTrue();
    }

    @Example
    void limitGrowsByTenthEachTenSecondsWithoutTermination() {
        crash(mServer, 0, 1000 * KB);
        long ten = TimeUnit.SECONDS.toNanos(10);
        assertThat(mLimit.limit(mServer.service(), ten - 1)).hasValue(500 * KB);
        assertThat(mLimit.limit(mServer.service(), ten)).hasValue(550 * KB);
        crash(mServer, 2 * ten, 200 * KB);
        assertThat(mLimit.limit(mServer.service(), 2 * ten)).hasValue(500 * KB);
    }

    /** Guards against limits learned from a planned leave or from requests without large bodies. */
    @Example
    void learnsNothingFromOtherEnds() {
        crash(server("leaving", true), 0, 900 * KB);
        crash(mServer, 0, 30 * KB, 34 * KB);
        mLimit.brokenOff(mServer.id(), 900 * KB, 0);
        mLimit.terminated(mServer, TimeUnit.SECONDS.toNanos(3));
        assertThat(mLearned).isEmpty();
        crash(mServer, TimeUnit.SECONDS.toNanos(9), 70 * KB);
        assertThat(mLearned).containsExactly(64 * KB);
    }

    @Example
    void choosesTheConnectionThatStalledLongest() {
        Map<String, Long> stalls = Map.of("a", 1_999L, "b", 2_500L, "c", 4_000L, "d", 0L);
        assertThat(choose(stalls)).contains("c");
        assertThat(choose(Map.of("a", 1_999L))).isEmpty();
    }

    private static Optional<String> choose(Map<String, Long> stallMillis) {
        return StalledConnections.choose(
                List.copyOf(stallMillis.keySet()),
                each -> TimeUnit.MILLISECONDS.toNanos(stallMillis.get(each)));
    }
}
