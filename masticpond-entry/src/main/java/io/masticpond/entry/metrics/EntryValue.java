package io.masticpond.entry.metrics;

/**
 * Metric whose value another component keeps and a scrape queries.
 *
 * @since 0.2
 */
public enum EntryValue {
    /** Requests without an answer. */
    OPEN_REQUESTS("open_requests", "Requests without an answer.", false),
    /** Connections of clients. */
    CLIENT_CONNECTIONS("client_connections", "Connections of clients that are open.", false),
    /** Connections to backend servers that are open or being opened. */
    BACKEND_CONNECTIONS("backend_connections", "Connections to backend servers.", false),
    /** Idle connections to backend servers. */
    IDLE_BACKEND_CONNECTIONS(
            "idle_backend_connections", "Connections to backend servers without a request.", false),
    /** Total number of connections to backend servers that were begun. */
    BACKEND_CONNECTIONS_OPENED(
            "backend_connections_opened", "Connections to backend servers ever begun.", true),
    /** Answers of backend servers that ended before they were complete. */
    INCOMPLETE_ANSWERS("incomplete_answers", "Answers that ended before they were complete.", true),
    /** Answers of backend servers with more bytes than any answer may have. */
    OVERSIZED_ANSWERS("oversized_answers", "Answers with more bytes than any may have.", true),
    /** Bytes received from backend servers. */
    BACKEND_BYTES_RECEIVED("backend_bytes_received", "Bytes received from backend servers.", true),
    /** Version of the routes in force. */
    ROUTING_VERSION("routing_version", "Version of the routes in force.", false),
    /** Revision of the store that the snapshot is based on. */
    REGISTRY_REVISION("registry_revision", "Revision of the store that is known.", false),
    /** Number of restores of the store from an older copy, as the store reports it. */
    STORE_ERA("store_era", "Era of the store; rises when it comes back from a copy.", false),
    /** Time since the routes were confirmed. */
    ROUTING_AGE("routing_age_seconds", "Time since the routes were confirmed.", false),
    /** Time since the list of backend servers was confirmed. */
    REGISTRY_AGE("registry_age_seconds", "Time since the backend servers were confirmed.", false),
    /** Age of the newest proof that no change of the routes was missed. */
    ROUTING_PROOF_AGE(
            "routing_proof_age_seconds",
            "Age of the proof that no route change is missing.",
            false),
    /** Age of the newest proof that no change of the backend servers was missed. */
    REGISTRY_PROOF_AGE(
            "registry_proof_age_seconds", "Age of the proof that no server is missing.", false),
    /** Age of the newest proof that no change of the evacuations was missed. */
    EVACUATIONS_PROOF_AGE(
            "evacuations_proof_age_seconds",
            "Age of the proof that no evacuation is missing.",
            false),
    /** Watches and lists of the store that were given up without an answer. */
    STORE_CALLS_GIVEN_UP(
            "store_calls_given_up", "Watches and lists given up without an answer.", true),
    /** Whether the store is unavailable. */
    STORE_LOST("store_lost", "1 while no call to the store succeeds, else 0.", false),
    /** Registered backend servers. */
    SERVERS("backend_servers", "Backend servers that are registered.", false),
    /** Backend servers that are leaving. */
    LEAVING_SERVERS("leaving_backend_servers", "Backend servers that are leaving.", false),
    /** Backend servers that are cold. */
    COLD_SERVERS("cold_backend_servers", "Backend servers that are cold.", false),
    /** Backend servers that are kept although their entries were removed. */
    UNCONFIRMED_SERVERS(
            "unconfirmed_backend_servers", "Backend servers kept without an entry.", false),
    /** Entries of backend servers that are in the store and cannot be read. */
    UNREADABLE_ENTRIES(
            "unreadable_entries", "Entries of backend servers that cannot be read.", false),
    /** Changes of entries that could not be read. */
    UNREADABLE_SEEN("unreadable_entries_seen", "Changes of entries that could not be read.", true),
    /** Parts of the configuration in force that could not be read. */
    UNREADABLE_PARTS(
            "unreadable_configuration_parts",
            "Parts of the configuration in force that cannot be read.",
            false),
    /** Zones whose backend servers receive no requests. */
    EVACUATED_ZONES("evacuated_zones", "Zones that are evacuated.", false),
    /** Instances that are alive, including this one. */
    INSTANCES_ALIVE("instances_alive", "Instances alive, this one included.", false),
    /** Number of instances among which common limits are divided. */
    SHAREHOLDERS("shareholders", "Instances that share common limits.", false),
    /** Longest time since the last sign of a live instance. */
    PEERS_AGE("peers_age_seconds", "Time since the most silent living instance was heard.", false),
    /** Retries that the budgets of all services allow in the window that ends now. */
    RETRY_BUDGET_BOUND("retry_budget_bound", "Retries that the budgets allow in a window.", false),
    /** Retries of that window that were made. */
    RETRY_BUDGET_USED("retry_budget_used", "Retries of the window that ends now.", false),
    /** Retries that the budgets of all services allow now. */
    RETRY_BUDGET("retry_budget_left", "Retries that the budgets allow now.", false),
    /** Heartbeats sent. */
    HEARTBEATS_SENT("heartbeats_sent", "Heartbeats sent to other instances.", true),
    /** Heartbeats received. */
    HEARTBEATS_RECEIVED("heartbeats_heard", "Heartbeats heard from other instances.", true),
    /** Loads of full servers that were reported to the zone. */
    LOADS_REPORTED("loads_told", "Loads of backend servers told to the zone.", true),
    /** Loads of servers that were received from the zone. */
    LOADS_RECEIVED("loads_heard", "Loads of backend servers heard from the zone.", true),
    /** Terminations of servers that were observed, once for each request running there. */
    SERVER_ENDS("server_ends", "Ends of backend servers, once for each request there.", true),
    /**
     * Requests that were running on a server when it terminated, and that are tracked for this
     * reason.
     */
    FOLLOWED_REQUESTS(
            "followed_requests", "Requests followed since servers ended under them.", false),
    /** Tracked requests that are rejected now. */
    REJECTED_REQUESTS("rejected_requests", "Requests rejected as they end servers.", false),
    /** Backend servers for which a limit is kept. */
    LIMITED_SERVERS("limited_backend_servers", "Backend servers that name a limit.", false),
    /** Requests per second that this instance may send to these servers. */
    LIMITED_RATE("limited_rate", "Requests a second that this instance may send to them.", false),
    /** Answers that stated a limit which is not valid. */
    MALFORMED_LIMITS("malformed_limits", "Answers with a limit that is no number.", true),
    /** Backend servers that have stated in an answer that they are leaving. */
    SERVERS_STATED_LEAVING(
            "backend_servers_said_leaving", "Backend servers that leave by their answers.", false),
    /** Backend servers that have requested a pause. */
    PAUSED_SERVERS("paused_backend_servers", "Backend servers that have asked for a pause.", false),
    /** Answers with a statement on a withdrawal that is not valid. */
    MALFORMED_WITHDRAWALS(
            "malformed_withdrawals", "Answers whose word on leaving or a pause is none.", true),
    /** Answers whose load header is not valid, or not in all parts. */
    MALFORMED_LOAD_HEADERS(
            "malformed_load_headers", "Answers with an invalid load or time of work.", true),
    /** Services of which this instance reaches no server. */
    UNREACHABLE_SERVICES(
            "unreachable_services", "Services of which no server answers this instance.", false),
    /** Number of times that a service was suspected to be unreachable. */
    REACHABILITY_SUSPICIONS(
            "reachability_suspicions", "Times that a service was probed for a loss here.", true),
    /** Number of times that a service became unreachable. */
    REACHABILITY_LOSSES(
            "reachability_losses", "Times that a service became unreachable here.", true),
    /** Requests forwarded to other instances. */
    FORWARDED_REQUESTS("forwarded_requests", "Requests forwarded to other instances.", true),
    /** Requests processed for other instances. */
    ACCEPTED_REQUESTS("accepted_requests", "Requests processed for other instances.", true),
    /** Bytes of request bodies held. */
    HELD_REQUEST_BYTES("held_body_bytes", "Bytes of bodies held.", false, "requests"),
    /** Bytes of response bodies held. */
    HELD_RESPONSE_BYTES("held_body_bytes", "Bytes of bodies held.", false, "responses"),
    /** Requests refused for lack of room for their bodies. */
    BODY_REFUSALS("body_refusals", "Requests refused for lack of room for their bodies.", true),
    /** Workspaces in force. */
    WORKSPACES("workspaces", "Workspaces in force.", false),
    /** Keys of these workspaces. */
    WORKSPACE_KEYS("workspace_keys", "Keys that open a workspace.", false),
    /** Age of the proof that these keys are the newest. */
    PROOF_AGE("key_proof_age_seconds", "Age of the proof that the keys are the newest.", false),
    /** Whether requests with keys are accepted. */
    KEYS_PROVEN("keys_proven", "1 while that proof is young enough, else 0.", false),
    /** Caps of the current shifts, in millionths. */
    SPENDING_CAP("spending_cap_micros", "Caps of the shifts that run now.", false),
    /** Amount of these caps that all instances hold or have spent, as last read. */
    SPENDING_ALLOTTED("spending_allotted_micros", "What all hold or spent of these caps.", false),
    /** Amount of these caps that this instance holds and has not spent. */
    SPENDING_HELD("spending_held_micros", "What this instance still holds of them.", false),
    /** Amount of these caps that this instance has spent. */
    SPENDING_SPENT("spending_spent_micros", "What this instance has spent of them.", false);

    private final String mName;
    private final String mHelp;
    private final boolean mTotal;
    private final String mDirection;

    EntryValue(String name, String help, boolean total) {
        this(name, help, total, null);
    }

    EntryValue(String name, String help, boolean total, String direction) {
        mName = name;
        mHelp = help;
        mTotal = total;
        mDirection = direction;
    }

    /** Returns the name in lower case, without the common prefix of all metrics. */
    String metricName() {
        return mName;
    }

    /** Returns the description of the metric. */
    String help() {
        return mHelp;
    }

    /** Returns the direction of one of several values with the same name, or null. */
    String direction() {
        return mDirection;
    }

    /** Returns whether the value only ever increases. */
    boolean isTotal() {
        return mTotal;
    }
}
