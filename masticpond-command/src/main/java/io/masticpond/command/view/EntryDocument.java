package io.masticpond.command.view;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.Locale;

/**
 * Documents of entry instances that contain a list, with the table that shows each.
 *
 * @since 0.2
 */
public enum EntryDocument {
    /** The services. */
    SERVICES(
            "Show the services with their rules and backend servers in numbers.",
            List.of(
                    Field.textField("SERVICE", "service"),
                    Field.numberField("SERVERS", "servers"),
                    Field.numberField("USABLE", "usable"),
                    Field.numberField("COLD", "cold"),
                    Field.numberField("LEAVING", "leaving"),
                    Field.numberField("SLOTS", "usableSlots"),
                    Field.numberField("CONNECTIONS", "maximumConnections"),
                    Field.numberField("WARM-UP MS", "warmUpMillis"),
                    Field.textField("HEALTH", "healthPath"))),
    /** The routes. */
    ROUTES(
            "Show the routes in force.",
            List.of(
                    Field.textField("ROUTE", "route"),
                    Field.textField("HOST", "host"),
                    Field.textField("PREFIX", "pathPrefix"),
                    Field.textField("IDEMPOTENT", "idempotent"),
                    Field.numberField("TIMEOUT MS", "timeoutMillis"),
                    Field.numberField("TARGET MS", "targetMillis"),
                    Field.numberField("PRIORITY", "priority"),
                    Field.numberField("ATTEMPTS", "maximumAttempts"),
                    Field.textField("AFFINITY", "affinity"),
                    Field.textField("HOMES", "homeRegions"),
                    Field.textField("SERVICES", "services"))),
    /** The backend servers. */
    SERVERS(
            "Show the backend servers with what the instance believes of each.",
            List.of(
                    Field.textField("SERVER", "server"),
                    Field.textField("SERVICE", "service"),
                    Field.textField("ZONE", "zone"),
                    Field.textField("STATE", "state"),
                    Field.textField("AVOIDED", "avoided"),
                    Field.numberField("COLD MS", "coldMillis"),
                    Field.numberField("IN FLIGHT", "inFlight"),
                    Field.numberField("OWN", "own"),
                    Field.numberField("SLOTS", "slots"),
                    Field.numberField("PENALTY", "penalty"),
                    Field.numberField("FAILED", "failureShare"),
                    Field.numberField("MEAN MS", "meanMillis"))),
    /** The load of each service, and the state of its load control. */
    LOAD(
            "Show the load of each service, who is refused, and the values behind it with their"
                    + " ages.",
            List.of(
                    Field.textField("SERVICE", "service"),
                    Field.textField("ACTIVE", "active"),
                    Field.textField("REASON", "reason"),
                    Field.numberField("REPORTED MS", "reportAgeMillis"),
                    Field.textField("FULL", "full"),
                    Field.numberField("FULLNESS", "fullness"),
                    Field.numberField("CAPACITY/S", "capacityPerSecond"),
                    Field.numberField("TAKES MS", "occupationMillis"),
                    Field.numberField("PERSISTENCE MS", "speedPersistenceMillis"))) {
        @Override
        void showDetails(JsonNode services, Page page) {
            LoadTables.show(services, page);
        }
    },
    /** The instances. */
    MEMBERS(
            "Show the instances as the first that answers sees them.",
            List.of(
                    Field.textField("INSTANCE", "instance"),
                    Field.textField("ZONE", "zone"),
                    Field.textField("STATE", "state"),
                    Field.textField("READY", "ready"),
                    Field.textField("LEAVING", "leaving"),
                    Field.numberField("REVISION", "revision"),
                    Field.numberField("SILENT MS", "silentMillis"),
                    Field.textField("ENTRY", "entry"),
                    Field.textField("CONTROL", "control"))),
    /** The evacuated zones. */
    EVACUATIONS(
            "Show the evacuated zones.",
            List.of(Field.textField("ZONE", "zone"), Field.numberField("SERVERS", "servers"))),
    /** The requests during which backend servers crashed. */
    CRASHES(
            "Show the requests under which backend servers ended, the rejected ones first.",
            List.of(
                    Field.textField("FINGERPRINT", "fingerprint"),
                    Field.textField("STATE", "state"),
                    Field.numberField("ENDS", "ends"),
                    Field.numberField("SEEN HERE", "ownEnds"),
                    Field.numberField("REPORTERS", "reporters"),
                    Field.numberField("TELLERS", "tellers"),
                    Field.numberField("NEWEST MS", "newestEndMillis"),
                    Field.numberField("REJECTED", "rejections"),
                    Field.numberField("LEFT MS", "leftMillis"))),
    /** The workspaces. */
    WORKSPACES(
            "Show the workspaces with their rates as the instance sees them, and its key proof.",
            List.of(
                    Field.textField("WORKSPACE", "workspace"),
                    Field.numberField("KEYS", "keys"),
                    Field.numberField("PRIORITY", "priority"),
                    Field.numberField("RATE/S", "ratePerSecond"),
                    Field.numberField("BURST", "burst"),
                    Field.numberField("CREDIT", "credit"),
                    Field.numberField("DEMAND/S", "demandPerSecond"),
                    Field.textField("HOMES", "homeRegions"))) {
        @Override
        public void show(JsonNode document, Page page) {
            super.show(document, page);
            page.line(
                    document.path("proven").asBoolean()
                            ? "Its keys were proven to be the newest "
                                    + document.path("proofAgeMillis").asLong()
                                    + " ms before."
                            : "It has no proof that its keys are the newest, and takes none.");
        }
    },
    /** The retry budgets, the cold servers and the spending caps. */
    BUDGET(
            "Show the instance's part of the retry budgets and spending caps, and who paces"
                    + " servers.",
            List.of(
                    Field.textField("SERVICE", "service"),
                    Field.numberField("REQUESTS", "requests"),
                    Field.numberField("USED", "used"),
                    Field.numberField("BOUND", "bound"),
                    Field.numberField("LEFT", "left"))) {
        @Override
        String listFieldName() {
            return "budgets";
        }

        @Override
        public void show(JsonNode document, Page page) {
            super.show(document, page);
            if (!document.path("coldServers").isEmpty()) {
                page.blankLine();
                page.table(Field.table(COLD_SERVERS, document.path("coldServers")));
            }
            if (!document.path("spendings").isEmpty()) {
                page.blankLine();
                page.table(Field.table(SPENDINGS, document.path("spendings")));
            }
        }
    };

    private static final List<Field> COLD_SERVERS =
            List.of(
                    Field.textField("COLD SERVER", "server"),
                    Field.textField("SERVICE", "service"),
                    Field.textField("ZONE", "zone"),
                    Field.numberField("COLD MS", "coldMillis"),
                    Field.textField("PACED BY", "owners"));

    private static final List<Field> SPENDINGS =
            List.of(
                    Field.textField("SPENDING OF", "service"),
                    Field.textField("SHIFT", "shift"),
                    Field.textField("END", "end"),
                    Field.numberField("CAP", "capMicros"),
                    Field.numberField("ALLOTTED", "allottedMicros"),
                    Field.numberField("SPENT BY ALL", "fleetSpentMicros"),
                    Field.numberField("IN HAND", "heldMicros"),
                    Field.numberField("SPENT", "spentMicros"),
                    Field.textField("STATE", "state"));

    private final String mDescription;
    private final List<Field> mFields;

    EntryDocument(String description, List<Field> fields) {
        mDescription = description;
        mFields = fields;
    }

    /**
     * Returns the name of the document, which is also that of its command and path.
     *
     * @return the name, in lower case
     */
    public String resourceName() {
        return name().toLowerCase(Locale.ROOT);
    }

    /**
     * Returns the description for the help.
     *
     * @return the description, one sentence
     */
    public String description() {
        return mDescription;
    }

    /**
     * Shows a document as a table.
     *
     * @param document the document of an instance
     * @param page the page to write to
     */
    public void show(JsonNode document, Page page) {
        JsonNode list = document.path(listFieldName());
        page.table(Field.table(mFields, list));
        showDetails(list, page);
        page.blankLine();
        page.line("As " + Field.text(document.path("instance")) + " sees it.");
    }

    /** Shows further tables of the list. */
    void showDetails(JsonNode list, Page page) {}

    /** Returns the name of the field that contains the list. */
    String listFieldName() {
        return resourceName();
    }
}
