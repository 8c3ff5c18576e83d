package io.masticpond.entry.metrics;

/**
 * A figure that another part keeps and a scrape asks it for.
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
    /** Connections to backend servers that wait for a request. */
    IDLE_BACKEND_CONNECTIONS(
            "idle_backend_connections", "Connections to backend servers without a request.", false),
    /** Connections to backend servers ever begun. */
    BACKEND_CONNECTIONS_OPENED(
            "backend_connections_opened", "Connections to backend servers ever begun.", true),
    /** The version of the routes in force. */
    ROUTING_VERSION("routing_version", "Version of the routes in force.", false),
    /** The revision of the store that the snapshot rests on. */
    REGISTRY_REVISION("registry_revision", "Revision of the store that is known.", false),
    /** How often the store has come back from an older copy, as it tells. */
    STORE_ERA("store_era", "Era of the store; rises when it comes back from a copy.", false),
    /** How long ago the routes were confirmed. */
    ROUTING_AGE("routing_age_seconds", "Time since the routes were confirmed.", false),
    /** How long ago the list of backend servers was confirmed. */
    REGISTRY_AGE("registry_age_seconds", "Time since the backend servers were confirmed.", false),
    /** Whether the store is lost. */
    STORE_LOST("store_lost", "1 while no call to the store succeeds, else 0.", false),
    /** Registered backend servers. */
    SERVERS("backend_servers", "Backend servers that are registered.", false),
    /** Backend servers that are leaving. */
    LEAVING_SERVERS("leaving_backend_servers", "Backend servers that are leaving.", false),
    /** Backend servers that are cold. */
    COLD_SERVERS("cold_backend_servers", "Backend servers that are cold.", false),
    /** Backend servers that are kept though their entries are gone. */
    UNCONFIRMED_SERVERS(
            "unconfirmed_backend_servers", "Backend servers kept without an entry.", false),
    /** Entries of backend servers that lie in the store and cannot be read. */
    UNREADABLE_ENTRIES(
            "unreadable_entries", "Entries of backend servers that cannot be read.", false),
    /** Changes of entries that could not be read. */
    UNREADABLE_SEEN("unreadable_entries_seen", "Changes of entries that could not be read.", true),
    /** Zones whose backend servers get nothing. */
    EVACUATED_ZONES("evacuated_zones", "Zones that are evacuated.", false),
    /** Instances that are alive, this one included. */
    INSTANCES_ALIVE("instances_alive", "Instances alive, this one included.", false),
    /** Among how many instances common limits are divided. */
    SHAREHOLDERS("shareholders", "Instances that share common limits.", false),
    /** How old the oldest news of an instance that counts as alive is. */
    PEERS_AGE("peers_age_seconds", "Time since the most silent living instance was heard.", false),
    /** How many retries the budgets of all services allow in the window that ends now. */
    RETRY_BUDGET_BOUND("retry_budget_bound", "Retries that the budgets allow in a window.", false),
    /** How many of them were made. */
    RETRY_BUDGET_USED("retry_budget_used", "Retries of the window that ends now.", false),
    /** How many retries the budgets of all services allow now. */
    RETRY_BUDGET("retry_budget_left", "Retries that the budgets allow now.", false),
    /** Heartbeats sent. */
    HEARTBEATS_SENT("heartbeats_sent", "Heartbeats sent to other instances.", true),
    /** Heartbeats heard. */
    HEARTBEATS_RECEIVED("heartbeats_heard", "Heartbeats heard from other instances.", true),
    /** Loads of full servers told to the zone. */
    LOADS_REPORTED("loads_told", "Loads of backend servers told to the zone.", true),
    /** Loads of servers heard from the zone. */
    LOADS_RECEIVED("loads_heard", "Loads of backend servers heard from the zone.", true),
    /** Ends of servers seen, once for each request that was there. */
    SERVER_ENDS("server_ends", "Ends of backend servers, once for each request there.", true),
    /** Requests that were there when a server ended, and are followed for it. */
    FOLLOWED_REQUESTS(
            "followed_requests", "Requests followed since servers ended under them.", false),
    /** Those of them that are rejected now. */
    REJECTED_REQUESTS("rejected_requests", "Requests rejected as they end servers.", false),
    /** Backend servers whose limit is kept. */
    LIMITED_SERVERS("limited_backend_servers", "Backend servers that name a limit.", false),
    /** What this instance may send to them. */
    LIMITED_RATE("limited_rate", "Requests a second that this instance may send to them.", false),
    /** Answers that named something which is no limit. */
    MALFORMED_LIMITS("malformed_limits", "Answers with a limit that is no number.", true),
    /** Backend servers that have said in an answer that they leave. */
    SERVERS_SAID_LEAVING(
            "backend_servers_said_leaving", "Backend servers that leave by their answers.", false),
    /** Backend servers that have asked for a pause. */
    PAUSED_SERVERS("paused_backend_servers", "Backend servers that have asked for a pause.", false),
    /** Answers that stated something on a withdrawal which means nothing. */
    MALFORMED_WITHDRAWALS(
            "malformed_withdrawals", "Answers whose word on leaving or a pause is none.", true),
    /** Workspaces in force. */
    WORKSPACES("workspaces", "Workspaces in force.", false),
    /** Their keys. */
    WORKSPACE_KEYS("workspace_keys", "Keys that open a workspace.", false),
    /** How old the proof is that these keys are the newest. */
    PROOF_AGE("key_proof_age_seconds", "Age of the proof that the keys are the newest.", false),
    /** Whether requests with keys are let in. */
    KEYS_PROVEN("keys_proven", "1 while that proof is young enough, else 0.", false),
    /** The caps of the shifts that run now, in millionths. */
    SPENDING_CAP("spending_cap_micros", "Caps of the shifts that run now.", false),
    /** What all instances hold or have spent of them, as last read. */
    SPENDING_ALLOTTED("spending_allotted_micros", "What all hold or spent of these caps.", false),
    /** What this instance holds of them and has not spent. */
    SPENDING_HELD("spending_held_micros", "What this instance still holds of them.", false),
    /** What this instance has spent of them. */
    SPENDING_SPENT("spending_spent_micros", "What this instance has spent of them.", false);

    private final String mName;
    private final String mHelp;
    private final boolean mTotal;

    EntryValue(String name, String help, boolean total) {
        mName = name;
        mHelp = help;
        mTotal = total;
    }

    /** Gives the name in lower case, without the prefix of all metrics. */
    String metricName() {
        return mName;
    }

    /** Gives the sentence that explains it. */
    String help() {
        return mHelp;
    }

    /** Tells whether it only ever grows. */
    boolean isTotal() {
        return mTotal;
    }
}
