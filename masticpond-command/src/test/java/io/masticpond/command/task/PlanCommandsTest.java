package io.masticpond.command.task;

import static org.assertj.core.api.Assertions.assertThat;

import net.jqwik.api.Example;

class PlanCommandsTest extends AbstractCommandTest {

    private static final String CONFIRMED = "{\"plan\":\"p-1\",\"version\":42}";

    @Example
    void showsPlanAsDifferencesWithPredictions() {
        try (FakeInstance instance =
                new FakeInstance().answers("POST /v1/intents", 201, Documents.PLAN)) {
            assertThat(run(instance.address(), "plan", "-")).isZero();
            assertThat(mTerminal.outputText())
                    .contains("~ services[booking].backendServers[bk-1].slots: 3 -> 4")
                    .contains("+ services[invoice]: a service")
                    .contains("- sites[old]: a site")
                    .contains("112%")
                    .contains("130.50")
                    .contains("! Region perth would be overloaded.")
                    .contains("masticpondctl confirm p-1")
                    .doesNotContain("\u001b");
        }
    }

    @Example
    void usesColorsOnTerminalUnlessDisabled() {
        try (FakeInstance instance =
                new FakeInstance().answers("POST /v1/intents", 201, Documents.PLAN)) {
            mTerminal.columns(80);
            run(instance.address(), "plan", "-", "--no-color");
            assertThat(mTerminal.outputText()).doesNotContain("\u001b");
            run(instance.address(), "plan", "-");
            assertThat(mTerminal.outputText()).contains("\u001b[32m  + services[invoice]");
        }
    }

    @Example
    void confirmWithoutTerminalRequiresYesOption() {
        try (FakeInstance instance = instanceWithPlan()) {
            assertThat(run(instance.address(), "confirm", "p-1"))
                    .isEqualTo(ExitCode.DECLINED.code());
            assertThat(instance.requests()).containsExactly("GET /v1/plans/p-1");
            assertThat(run(instance.address(), "confirm", "p-1", "--yes")).isZero();
            assertThat(mTerminal.outputText()).contains("accepted as version 42");
        }
    }

    @Example
    void anyAnswerButYesDeclines() {
        try (FakeInstance instance = instanceWithPlan()) {
            for (String answer : new String[] {"", "no", "y", "yes please"}) {
                mTerminal.answer(answer);
                assertThat(run(instance.address(), "confirm", "p-1"))
                        .isEqualTo(ExitCode.DECLINED.code());
            }
            assertThat(instance.requests()).doesNotContain("POST /v1/plans/p-1/confirm");
            mTerminal.answer(" Yes ");
            assertThat(run(instance.address(), "confirm", "p-1")).isZero();
        }
    }

    @Example
    void conflictShowsChangesSinceBaseVersion() {
        String conflict =
                """
                {"status":409,"cause":"base-changed","detail":"Version 42 came in force.",
                 "differences":[{"path":"services[billing].prices","kind":"CHANGED",
                                 "before":"1","after":"2"}]}
                """;
        try (FakeInstance instance = instanceWithPlan()) {
            instance.answers("POST /v1/plans/p-1/confirm", 409, conflict);
            assertThat(run(instance.address(), "confirm", "p-1", "--yes"))
                    .isEqualTo(ExitCode.CONFLICT.code());
            assertThat(mTerminal.errorText())
                    .contains("Version 42 came in force.")
                    .contains("~ services[billing].prices: 1 -> 2");
        }
    }

    @Example
    void showsAllFaultsOfIntent() {
        String invalid =
                """
                {"status":422,"detail":"The intent has 2 faults.","faults":[
                 {"path":"$.services[0].id","message":"An id must have text."},
                 {"path":"$.regions[1].zone","message":"Unknown field."}]}
                """;
        try (FakeInstance instance = new FakeInstance().answers("POST /v1/intents", 422, invalid)) {
            assertThat(run(instance.address(), "plan", "-")).isEqualTo(ExitCode.REFUSED.code());
            assertThat(mTerminal.errorText())
                    .contains("$.services[0].id: An id must have text.")
                    .contains("$.regions[1].zone: Unknown field.");
        }
    }

    @Example
    void jsonOutputEscapesNonAsciiCharacters() {
        String plan = "{\"id\":\"p-1\",\"warnings\":[\"F\u00e8s\\u001b[2J\"]}";
        try (FakeInstance instance = new FakeInstance().answers("POST /v1/intents", 201, plan)) {
            assertThat(run(instance.address(), "plan", "-", "--output=json")).isZero();
            assertThat(mTerminal.outputText())
                    .contains("F\\u00E8s\\u001B[2J")
                    .doesNotContain("\u001b");
        }
    }

    @Example
    void rejectsIdentifiersThatWouldChangeRequestPath() {
        for (String plan : new String[] {"../status", "a/b", "a?x=1", "", "-x"}) {
            assertThat(run("127.0.0.1:1", "confirm", "--yes", "--", plan))
                    .as(plan)
                    .isEqualTo(ExitCode.BAD_USAGE.code());
        }
    }

    private static FakeInstance instanceWithPlan() {
        return new FakeInstance()
                .answers("GET /v1/plans/p-1", 200, Documents.PLAN)
                .answers("POST /v1/plans/p-1/confirm", 200, CONFIRMED);
    }
}
