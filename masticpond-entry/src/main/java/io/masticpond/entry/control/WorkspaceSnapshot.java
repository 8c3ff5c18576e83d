package io.masticpond.entry.control;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.masticpond.core.limit.SharedRates;
import io.masticpond.core.workspace.Workspace;
import io.masticpond.core.workspace.WorkspaceTable;
import io.masticpond.entry.log.RequestRecord;
import io.masticpond.entry.request.WorkspaceAuthenticator;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Snapshot of this instance's view of the workspaces, which never contains their keys.
 *
 * @param proven whether requests with keys are admitted
 * @param proofAgeNanos the age in nanoseconds of the proof that the keys are the newest ones, or
 *     {@link RequestRecord#UNKNOWN}
 * @param workspaces the workspaces, ordered by name
 */
record WorkspaceSnapshot(
        boolean keysRequired, boolean proven, long proofAgeNanos, List<WorkspaceState> workspaces) {

    /** Snapshot without workspaces. */
    static final WorkspaceSnapshot NONE =
            new WorkspaceSnapshot(false, true, RequestRecord.UNKNOWN, List.of());

    /**
     * State of a workspace. Credit and demand are those of all instances, in this instance's view.
     */
    record WorkspaceState(Workspace workspace, double credit, double demand) {}

    /** Takes a snapshot. Must be called on the traffic thread. */
    static WorkspaceSnapshot take(WorkspaceAuthenticator authenticator, long nowNanos) {
        List<WorkspaceState> states = new ArrayList<>();
        SharedRates rates = authenticator.rates();
        for (Workspace each :
                authenticator.workspaces().map(WorkspaceTable::all).orElse(List.of())) {
            boolean isLimited = rates.isLimited(each.id());
            states.add(
                    new WorkspaceState(
                            each,
                            isLimited ? rates.credit(each.id()) : 0,
                            isLimited ? rates.demand(each.id(), nowNanos) : 0));
        }
        states.sort(Comparator.comparing(state -> state.workspace().id()));
        return new WorkspaceSnapshot(
                authenticator.workspaces().isPresent(),
                authenticator.isProven(),
                authenticator.proofAgeNanos(),
                states);
    }

    void write(ObjectNode document) {
        document.put("keysRequired", keysRequired);
        document.put("proven", proven);
        if (proofAgeNanos != RequestRecord.UNKNOWN) {
            document.put("proofAgeMillis", JsonFormat.millis(proofAgeNanos));
        }
        ArrayNode array = document.putArray("workspaces");
        for (WorkspaceState state : workspaces) {
            Workspace workspace = state.workspace();
            ObjectNode each =
                    array.addObject()
                            .put("workspace", workspace.id().value())
                            .put("keys", workspace.keys().size());
            workspace.priority().ifPresent(priority -> each.put("priority", priority));
            workspace
                    .limit()
                    .ifPresent(
                            limit ->
                                    each.put("ratePerSecond", limit.perSecond())
                                            .put("burst", limit.burst())
                                            .put("credit", JsonFormat.rounded(state.credit()))
                                            .put("demandPerSecond", state.demand()));
            ArrayNode homes = each.putArray("homeRegions");
            workspace.homeRegions().stream()
                    .map(region -> region.value())
                    .sorted()
                    .forEach(homes::add);
        }
    }
}
