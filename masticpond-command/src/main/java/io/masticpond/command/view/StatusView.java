package io.masticpond.command.view;

import io.masticpond.command.client.StatusAnswer;
import io.masticpond.command.client.StatusAnswer.Member;
import io.masticpond.command.client.StatusAnswer.MemberState;
import java.time.Instant;

/**
 * Renderer of the status of an instance and its view of the others.
 *
 * @since 0.1
 */
public final class StatusView {

    private StatusView() {}

    /**
     * Shows a status.
     *
     * @param status the status
     * @param page the page to write to
     */
    public static void show(StatusAnswer status, Page page) {
        page.line("As seen by " + status.instance() + " in " + status.zone(), Style.BOLD);
        String ready = status.ready() ? "ready" : "not ready";
        page.line("It is " + status.state() + " and " + ready, readyStyle(status));
        status.reasons().forEach(reason -> page.line("! " + reason, Style.WARNING));
        if (!status.platformReachable()) {
            page.line("! The platform does not answer it.", Style.WARNING);
        }
        page.line("Requests in flight: " + status.requestsInFlight());
        page.blankLine();
        page.table(members(status));
    }

    private static Style readyStyle(StatusAnswer status) {
        return status.ready() ? Style.GOOD : Style.WARNING;
    }

    private static TextTable members(StatusAnswer status) {
        TextTable table =
                new TextTable(
                        Column.textColumn("INSTANCE"),
                        Column.textColumn("ZONE"),
                        Column.textColumn("STATE"),
                        Column.numberColumn("VERSION"),
                        Column.textColumn("STARTED"),
                        Column.textColumn("OPERATOR ADDRESS"));
        long newest =
                status.members().stream()
                        .mapToLong(Member::configurationVersion)
                        .reduce(status.configurationVersion(), Math::max);
        for (Member member : status.members()) {
            boolean behind = member.configurationVersion() < newest;
            table.add(
                    Cell.of(member.instance()),
                    Cell.of(member.zone()),
                    Cell.of(member.state(), styleOf(member.state())),
                    Cell.of(member.configurationVersion(), behind ? Style.WARNING : Style.PLAIN),
                    Cell.of(Instant.ofEpochMilli(member.incarnation())),
                    Cell.of(member.operatorAddress()));
        }
        return table;
    }

    private static Style styleOf(MemberState state) {
        return switch (state) {
            case LIVE -> Style.GOOD;
            case EXPECTED, SUSPECT, LEAVING -> Style.WARNING;
            case DEAD -> Style.BAD;
        };
    }
}
