package io.masticpond.entry.forward;

import static org.assertj.core.api.Assertions.assertThat;

import io.masticpond.core.id.BackendServerId;
import io.masticpond.core.id.ServiceId;
import io.masticpond.core.serverlimit.LimitHeader;
import io.masticpond.core.statement.AttributedStatement;
import io.masticpond.core.statement.LeavingHeader;
import io.masticpond.core.statement.PauseHeader;
import io.masticpond.core.statement.ServerStatement;
import io.masticpond.entry.settings.HeaderNames;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.List;
import java.util.Optional;
import net.jqwik.api.Example;

/** Guards against names of the platform that other instances read differently or not at all. */
class ForwardNamesTest {

    private static final List<String> NAMES =
            List.of("plain-1.a_b", "r\u00e9servation", "a b;c", "100%", "a+b", "a\r\nSecond: x");

    private final ForwardHeaders mHeaders =
            new ForwardHeaders(
                    new HeaderNames(
                            "Id",
                            "Wait",
                            "Key",
                            "Seal",
                            "For",
                            "Load",
                            "Limit",
                            "Leaving",
                            "Cold",
                            "Not-Run",
                            "Retry-After",
                            "Credential",
                            "Workspace"));

    @Example
    void servicesOfForwardedRequestsAreReadAsWritten() {
        for (String name : NAMES) {
            HttpHeaders headers = new DefaultHttpHeaders();
            ForwardTerms terms = new ForwardTerms(new ServiceId(name), Optional.empty(), 2);
            mHeaders.writeTerms(terms, headers);
            assertThat(mHeaders.takeTerms(headers)).as(name).contains(terms);
        }
    }

    @Example
    void serversOfStatementsAreReadAsWritten() {
        for (String name : NAMES) {
            AttributedStatement statement =
                    new AttributedStatement(
                            new BackendServerId(name),
                            new ServerStatement(
                                    LimitHeader.ABSENT,
                                    Optional.empty(),
                                    LeavingHeader.LEAVING,
                                    PauseHeader.ABSENT));
            String text = StatementCodec.encode(statement);
            assertThat(StatementCodec.decode(text)).as(name).contains(statement);
        }
        assertThat(StatementCodec.decode("%zz")).isEmpty();
    }
}
