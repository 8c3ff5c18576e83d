package io.masticpond.entry.log;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import io.masticpond.core.id.BackendServerId;
import io.masticpond.core.id.ZoneId;
import io.masticpond.core.time.ManualTimeSource;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import net.jqwik.api.Example;

/** Tests for the queries of {@link RecentDecisions} and for what plain requests evict. */
class RecentDecisionsTest {

    private static final int MANY = 10_000;

    private final ManualTimeSource mTime = new ManualTimeSource(Instant.EPOCH);
    private final RecentDecisions mDecisions = new RecentDecisions(DecisionLog.NONE, mTime);

    @Example
    void returnsRetryAndEndOfRequestInOrder() {
        RequestRecord request = new RequestRecord("one", 0);
        request.sent(new BackendServerId("s"), new ZoneId("z"), false, 0);
        request.attemptEnded(AttemptResult.TURNED_AWAY, 503, 1);
        mDecisions.requestRetried(request);
        mTime.advance(Duration.ofSeconds(1));
        request.refused("turned-away", 503, 100, 2);
        mDecisions.requestEnded(request);
        List<JsonNode> lines = mDecisions.requestLines("one");
        assertThat(lines)
                .extracting(line -> line.path("event").asText())
                .containsExactly("retry", "request");
        assertThat(lines.get(1).path("at").asText()).isEqualTo("1970-01-01T00:00:01.000Z");
        assertThat(lines.get(1).path("attempts").get(0).path("result").asText())
                .isEqualTo("turned-away");
        assertThat(mDecisions.requestLines("two")).isEmpty();
    }

    @Example
    void plainRequestsEvictNoRefusalAndNoViewChange() {
        RequestRecord refused = new RequestRecord("refused", 0);
        refused.refused("overload", 503, 100, 0);
        mDecisions.requestEnded(refused);
        mDecisions.viewChanged(new ViewChange.Store(false, 0, null));
        for (int index = 0; index < MANY; index++) {
            RequestRecord plain = new RequestRecord("plain" + index, 0);
            plain.answered(200, 0);
            mDecisions.requestEnded(plain);
        }
        assertThat(mDecisions.requestLines("refused")).hasSize(1);
        assertThat(mDecisions.requestLines("plain" + (MANY - 1))).hasSize(1);
        assertThat(mDecisions.requestLines("plain0")).isEmpty();
        assertThat(mDecisions.evicted()).isPositive();
        assertThat(mDecisions.recentViewChanges(1))
                .singleElement()
                .matches(line -> line.path("event").asText().equals("store"));
    }

    @Example
    void returnsNewestViewChanges() {
        for (int index = 0; index < 3; index++) {
            mDecisions.viewChanged(
                    new ViewChange.Zone(new ZoneId("z" + index), true, 1, UpdateSource.STORE));
        }
        assertThat(mDecisions.recentViewChanges(2))
                .extracting(line -> line.path("zone").asText())
                .containsExactly("z1", "z2");
        assertThat(mDecisions.recentViewChanges(0)).isEmpty();
    }
}
