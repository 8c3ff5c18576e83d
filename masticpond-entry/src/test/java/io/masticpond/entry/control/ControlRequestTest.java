package io.masticpond.entry.control;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.handler.codec.http.HttpMethod;
import io.vavr.control.Either;
import net.jqwik.api.Example;

/** Whatever is wrong with a question is said. */
class ControlRequestTest {

    @Example
    void whatIsWrongIsNamed() {
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
    void nothingIsChangedByAnyMethod() {
        Either<ControlProblem, ControlRequest> question =
                ControlRequest.read(HttpMethod.POST, "/v1/status");
        assertThat(question.getLeft().status()).isEqualTo(405);
    }

    @Example
    void numbersAreBounded() {
        assertThat(number("7").get()).isEqualTo(7);
        for (String wrong : new String[] {"-1", "11", "x", "99999999999"}) {
            assertThat(number(wrong).getLeft().detail()).contains("0 to 10", "'" + wrong + "'");
        }
    }

    private static Either<ControlProblem, Integer> number(String text) {
        return ControlRequest.read(HttpMethod.GET, "/v1/timeline?beliefs=" + text)
                .flatMap(question -> question.number("beliefs", 1, 10));
    }

    private static ControlProblem problem(String target) {
        return ControlRequest.read(HttpMethod.GET, target).getLeft();
    }
}
