package io.masticpond.core.reachability;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import net.jqwik.api.Example;

/** Guards against requests that fail while the links of an instance to all servers flap. */
class FlappingLinkTest {

    private static final int SEEDS = 20;

    /** Failures that users accept, and one in so many requests in addition. */
    private static final int ACCEPTED_FAILURES = 10;

    private static final int REQUESTS_PER_ACCEPTED_FAILURE = 50;

    @Example
    void requestsAreServedWhateverTheTimeBetweenCuts() {
        List<String> violations = new ArrayList<>();
        for (int millis : List.of(50, 100, 200, 300, 400, 500, 700, 1_000, 1_500, 2_000)) {
            for (FlappingLinkModel.Load load :
                    List.of(
                            new FlappingLinkModel.Load(millis, millis, 0, 14, 15),
                            new FlappingLinkModel.Load(millis, 2 * millis, 0, 14, 15),
                            new FlappingLinkModel.Load(2 * millis, millis, 0, 14, 15),
                            new FlappingLinkModel.Load(millis, millis, millis / 4, 14, 15),
                            new FlappingLinkModel.Load(millis, millis, 10, 50, 15),
                            new FlappingLinkModel.Load(millis, millis, 0, 50, 100))) {
                for (int seed = 0; seed < SEEDS; seed++) {
                    violation(load, seed).ifPresent(violations::add);
                }
            }
        }
        assertThat(violations).isEmpty();
    }

    private static Optional<String> violation(FlappingLinkModel.Load load, int seed) {
        FlappingLinkModel model = new FlappingLinkModel(load, seed);
        model.run();
        int accepted = ACCEPTED_FAILURES + model.mRequests / REQUESTS_PER_ACCEPTED_FAILURE;
        return model.mFailed <= accepted
                ? Optional.empty()
                : Optional.of(
                        "%s, seed %d: %d of %d requests failed"
                                .formatted(load, seed, model.mFailed, model.mRequests));
    }
}
