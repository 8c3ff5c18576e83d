package io.masticpond.measure.logging;

import io.masticpond.core.id.BackendServerId;
import io.masticpond.core.id.RouteId;
import io.masticpond.core.id.ServiceId;
import io.masticpond.core.id.ZoneId;
import io.masticpond.entry.log.AttemptResult;
import io.masticpond.entry.log.CandidateFigures;
import io.masticpond.entry.log.Exclusion;
import io.masticpond.entry.log.RequestRecord;
import java.util.concurrent.TimeUnit;

/** Generator of request records as the request path fills them; one request in ten is refused. */
final class SampleRequests {

    private static final int SERVERS = 24;
    private static final int REFUSAL_INTERVAL = 10;
    private static final int SLOTS = 8;
    private static final long SERVICE_NANOS = TimeUnit.MILLISECONDS.toNanos(40);
    private static final long TARGET_MILLIS = 400;
    private static final long DEADLINE_NANOS = TimeUnit.SECONDS.toNanos(2);

    private final RouteId mRoute = new RouteId("orders");
    private final ServiceId mService = new ServiceId("orders-service");
    private final ZoneId mZone = new ZoneId("zone-1");
    private final BackendServerId[] mServers = new BackendServerId[SERVERS];
    private int mNextNumber;

    SampleRequests() {
        for (int index = 0; index < SERVERS; index++) {
            mServers[index] = new BackendServerId("server-" + index);
        }
    }

    /** Returns the record of a request that ends at the given time. */
    RequestRecord next(long nowNanos) {
        int number = mNextNumber++;
        RequestRecord request = new RequestRecord("request-" + number, nowNanos - SERVICE_NANOS);
        request.routed(mRoute, mService, TARGET_MILLIS, nowNanos - SERVICE_NANOS + DEADLINE_NANOS);
        request.routing(7, SERVICE_NANOS);
        request.registry(number, SERVICE_NANOS);
        request.peers(3, SERVICE_NANOS);
        request.beginSelection();
        for (int index = 0; index < 3; index++) {
            request.candidate(
                    server(number + index), new CandidateFigures(index, SLOTS, 0.9 - index));
        }
        request.excluded(Exclusion.LEAVING);
        if (number % REFUSAL_INTERVAL == 0) {
            request.refused("overload", 503, 250, nowNanos);
            return request;
        }
        request.retryBudget(2.5);
        request.sent(server(number), mZone, false, nowNanos - SERVICE_NANOS);
        request.attemptEnded(AttemptResult.ANSWERED, 200, nowNanos);
        request.answered(200, nowNanos);
        return request;
    }

    private BackendServerId server(int number) {
        return mServers[number % SERVERS];
    }
}
