package io.masticpond.entry.control;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.handler.codec.http.HttpMethod;
import io.vavr.control.Either;
import net.jqwik.api.Example;

/** Tests that an invalid control request is rejected with a problem that names the fault. */
class ControlRequestTest {

    @Example
    void problemNamesTheInvalidPart() {
        assertThat(problem("/v1/nothing").detail()).contains("/v1/nothing", "/v1/servers");
        assertThat(problem("/v1/nothing").status()).isEqualTo(404);
        assertThat(problem("/v1/status?x=1").detail()).contains("'x'", "it takes none");
        assertThat(problem("/v1/timeline?id=1").detail()).contains("'id'", "beliefs, request");
        assertThat(problem("/v1/timeline?request=").cause()).isEqualTo("bad-parameter");
        assertThat(problem("/v1/timeline?request=1&request=2").status()).isEqualTo(400);
        assertThat(problem("/v1/timeline?request=" + "x".repeat(257)).status()).isEqualTo(400);
        assertThat(problem("/v1/timeline?request=%zz").cause()).isEqualTo("bad-target");
    }

    @Example
    void rejectsMethodThatTheViewDoesNotSupport() {
        Either<ControlProblem, ControlRequest> request =
                ControlRequest.read(HttpMethod.POST, "/v1/status");
        assertThat(request.getLeft().status()).isEqualTo(405);
    }

    @Example
    void acceptsOnlyNumbersWithinBounds() {
        assertThat(number("7").get()).isEqualTo(7);
        for (String invalid : new String[] {"-1", "11", "x", "99999999999"}) {
            assertThat(number(invalid).getLeft().detail()).contains("0 to 10", "'" + invalid + "'");
        }
    }

    private static Either<ControlProblem, Integer> number(String text) {
        return ControlRequest.read(HttpMethod.GET, "/v1/timeline?beliefs=" + text)
                .flatMap(request -> request.number("beliefs", 1, 10));
    }

    private static ControlProblem problem(String target) {
        return ControlRequest.read(HttpMethod.GET, target).getLeft();
    }
}
