package io.masticpond.command.view;

import io.masticpond.command.client.ConfigurationAnswer;
import io.masticpond.command.client.ConfigurationAnswer.BackendServer;
import io.masticpond.command.client.ConfigurationAnswer.Region;
import io.masticpond.command.client.ConfigurationAnswer.Service;
import io.masticpond.command.client.StatusAnswer;
import io.masticpond.command.client.StatusAnswer.Capacity;
import java.util.List;
import java.util.Optional;

/**
 * Renderer of services and availability zones with the capacity known to one instance.
 *
 * @since 0.1
 */
public final class ServicesView {

    private static final String UNKNOWN = "-";

    private ServicesView() {}

    /**
     * Shows a row for each service in each region.
     *
     * @param configuration the configuration in force
     * @param status the status of the instance whose view is shown
     * @param page the page to write to
     */
    public static void showServices(
            ConfigurationAnswer configuration, StatusAnswer status, Page page) {
        TextTable table =
                new TextTable(
                        Column.textColumn("SERVICE"),
                        Column.textColumn("REGION"),
                        Column.numberColumn("SERVERS"),
                        Column.numberColumn("SLOTS"),
                        Column.numberColumn("USABLE"),
                        Column.numberColumn("IN FLIGHT"),
                        Column.numberColumn("WAITING"),
                        Column.numberColumn("WAIT MS"),
                        Column.textColumn("STEP"),
                        Column.textColumn("ADMITTER"));
        for (Service service : configuration.content().services()) {
            for (Region region : configuration.content().regions()) {
                addService(table, service, region, status.capacity());
            }
        }
        page.line("Version " + configuration.version() + ", as seen by " + status.instance());
        page.table(table);
    }

    /**
     * Shows a row for each availability zone.
     *
     * @param configuration the configuration in force
     * @param status the status of the instance whose view is shown
     * @param page the page to write to
     */
    public static void showZones(
            ConfigurationAnswer configuration, StatusAnswer status, Page page) {
        TextTable table =
                new TextTable(
                        Column.textColumn("REGION"),
                        Column.textColumn("ZONE"),
                        Column.numberColumn("INSTANCES"),
                        Column.numberColumn("LIVE"),
                        Column.numberColumn("SERVERS"),
                        Column.numberColumn("SLOTS"));
        for (Region region : configuration.content().regions()) {
            for (String zone : region.zones()) {
                addZone(table, region, zone, configuration, status);
            }
        }
        page.line("Version " + configuration.version() + ", as seen by " + status.instance());
        page.table(table);
    }

    private static void addService(
            TextTable table, Service service, Region region, List<Capacity> capacities) {
        List<BackendServer> servers =
                service.backendServers().stream()
                        .filter(server -> region.zones().contains(server.zone()))
                        .toList();
        Optional<Capacity> known =
                capacities.stream()
                        .filter(capacity -> capacity.service().equals(service.id()))
                        .filter(capacity -> capacity.region().equals(region.id()))
                        .findFirst();
        table.add(
                Cell.of(service.id()),
                Cell.of(region.id()),
                Cell.of(servers.size()),
                Cell.of(servers.stream().mapToInt(BackendServer::slots).sum()),
                Cell.of(known.map(each -> "" + each.usableSlots()).orElse(UNKNOWN)),
                Cell.of(known.map(each -> "" + each.inFlight()).orElse(UNKNOWN)),
                Cell.of(known.map(each -> "" + each.waiting()).orElse(UNKNOWN)),
                Cell.of(known.map(ServicesView::waitOf).orElse(UNKNOWN)),
                Cell.of(known.map(Capacity::step).orElse(UNKNOWN)),
                Cell.of(known.map(Capacity::admitter).orElse(UNKNOWN)));
    }

    private static String waitOf(Capacity capacity) {
        return capacity.expectedWaitMillis() < 0 ? "no end" : "" + capacity.expectedWaitMillis();
    }

    private static void addZone(
            TextTable table,
            Region region,
            String zone,
            ConfigurationAnswer configuration,
            StatusAnswer status) {
        List<StatusAnswer.Member> members =
                status.members().stream().filter(member -> member.zone().equals(zone)).toList();
        long live =
                members.stream()
                        .filter(member -> member.state() == StatusAnswer.MemberState.LIVE)
                        .count();
        List<BackendServer> servers =
                configuration.content().services().stream()
                        .flatMap(service -> service.backendServers().stream())
                        .filter(server -> server.zone().equals(zone))
                        .toList();
        table.add(
                Cell.of(region.id()),
                Cell.of(zone),
                Cell.of(members.size()),
                Cell.of(live, live == members.size() ? Style.PLAIN : Style.WARNING),
                Cell.of(servers.size()),
                Cell.of(servers.stream().mapToInt(BackendServer::slots).sum()));
    }
}
