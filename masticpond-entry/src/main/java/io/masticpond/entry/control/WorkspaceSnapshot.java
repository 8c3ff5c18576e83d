package io.masticpond.entry.control;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.masticpond.core.limit.SharedRates;
import io.masticpond.core.workspace.Workspace;
import io.masticpond.entry.log.RequestRecord;
import io.masticpond.entry.request.WorkspaceAuthenticator;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * What is believed of the workspaces at a moment; keys have no place in it.
 *
 * @param proven whether requests with keys are let in
 * @param proofAgeNanos how old the proof is that the keys are the newest, or {@link
 *     RequestRecord#UNKNOWN}
 * @param workspaces the workspaces, by name
 */
record WorkspaceSnapshot(boolean proven, long proofAgeNanos, List<Line> workspaces) {

    /** There are none. */
    static final WorkspaceSnapshot NONE =
            new WorkspaceSnapshot(true, RequestRecord.UNKNOWN, List.of());

    /** One workspace; credit and demand are those of all instances, as known here. */
    record Line(Workspace workspace, double credit, double demand) {}

    /** Takes the snapshot, on the traffic thread. */
    static WorkspaceSnapshot take(WorkspaceAuthenticator authenticator, long nowNanos) {
        List<Line> lines = new ArrayList<>();
        SharedRates rates = authenticator.rates();
        for (Workspace each : authenticator.workspaces().all()) {
            boolean isLimited = rates.isLimited(each.id());
            lines.add(
                    new Line(
                            each,
                            isLimited ? rates.credit(each.id()) : 0,
                            isLimited ? rates.demand(each.id(), nowNanos) : 0));
        }
        lines.sort(Comparator.comparing(line -> line.workspace().id()));
        return new WorkspaceSnapshot(
                authenticator.isProven(), authenticator.proofAgeNanos(), lines);
    }

    void write(ObjectNode document) {
        document.put("proven", proven);
        if (proofAgeNanos != RequestRecord.UNKNOWN) {
            document.put("proofAgeMillis", JsonFormat.millis(proofAgeNanos));
        }
        ArrayNode list = document.putArray("workspaces");
        for (Line line : workspaces) {
            Workspace workspace = line.workspace();
            ObjectNode each =
                    list.addObject()
                            .put("workspace", workspace.id().value())
                            .put("keys", workspace.keys().size());
            workspace.priority().ifPresent(priority -> each.put("priority", priority));
            workspace
                    .limit()
                    .ifPresent(
                            limit ->
                                    each.put("ratePerSecond", limit.perSecond())
                                            .put("burst", limit.burst())
                                            .put("credit", JsonFormat.rounded(line.credit()))
                                            .put("demandPerSecond", line.demand()));
            ArrayNode homes = each.putArray("homeRegions");
            workspace.homeRegions().stream()
                    .map(region -> region.value())
                    .sorted()
                    .forEach(homes::add);
        }
    }
}
