package io.masticpond.entry.log;

import com.fasterxml.jackson.core.JsonGenerator;
import io.masticpond.core.fleet.StoreRevision;
import io.masticpond.core.serverlimit.LimitHeader;
import io.masticpond.core.statement.ServerStatement;
import java.io.IOException;
import java.util.concurrent.TimeUnit;

/** Line that is written when a request completes. */
record RequestLine(RequestRecord request) implements LineContent {

    private static final double SCORE_STEPS = 1_000;
    private static final Exclusion[] EXCLUSIONS = Exclusion.values();

    @Override
    public String event() {
        return "request";
    }

    @Override
    public void write(JsonGenerator line) throws IOException {
        writeHead(line, request);
        line.writeStringField("outcome", EnumNames.of(request.mOutcome));
        if (request.mCause != null) {
            line.writeStringField("cause", LineText.of(request.mCause));
        }
        if (request.mStatus != 0) {
            line.writeNumberField("status", request.mStatus);
        }
        writeKnown(line, "retryAfterMillis", request.mRetryAfterMillis);
        line.writeNumberField("millis", millis(request.mEndNanos - request.mArrivalNanos));
        writeKnown(line, "targetMillis", request.mTargetMillis);
        line.writeNumberField("leftMillis", millis(request.mDeadlineNanos - request.mEndNanos));
        if (request.mWaitNanos != RequestRecord.UNKNOWN) {
            line.writeNumberField("waitMillis", millis(request.mWaitNanos));
            line.writeNumberField("longestWaitMillis", millis(request.mMaximumWaitNanos));
        }
        if (request.mSpending != null) {
            writeSpending(line, request.mSpending);
        }
        writeAttempts(line);
        writeChoice(line);
        if (request.mRetryBudget >= 0) {
            line.writeNumberField("retryBudget", rounded(request.mRetryBudget));
        }
        if (request.mRetryDenial != null) {
            line.writeStringField("retryDenied", EnumNames.toName(request.mRetryDenial));
        }
        writeInputs(line);
    }

    /** Writes the fields that identify the request. */
    static void writeHead(JsonGenerator line, RequestRecord request) throws IOException {
        line.writeStringField("id", LineText.of(request.mRequestId));
        if (request.mKey != null) {
            line.writeStringField("key", LineText.of(request.mKey));
        }
        if (request.mFingerprint != null) {
            line.writeStringField("fingerprint", request.mFingerprint.toString());
        }
        if (request.mRoute != null) {
            line.writeStringField("route", LineText.of(request.mRoute.value()));
        }
        if (request.mService != null) {
            line.writeStringField("service", LineText.of(request.mService.value()));
        }
    }

    /** Writes a number unless it is unknown. */
    static void writeKnown(JsonGenerator line, String name, long value) throws IOException {
        if (value != RequestRecord.UNKNOWN) {
            line.writeNumberField(name, value);
        }
    }

    /** Writes a revision as numbered by the store, without its era, unless it is unknown. */
    static void writeRevision(JsonGenerator line, String name, long storeRevision)
            throws IOException {
        if (storeRevision != RequestRecord.UNKNOWN) {
            line.writeNumberField(name, StoreRevision.revision(storeRevision));
        }
    }

    static long millis(long nanos) {
        return TimeUnit.NANOSECONDS.toMillis(nanos);
    }

    static double rounded(double value) {
        return Math.round(value * SCORE_STEPS) / SCORE_STEPS;
    }

    private static void writeSpending(JsonGenerator line, SpendingInputs inputs)
            throws IOException {
        line.writeObjectFieldStart("spending");
        line.writeStringField("shift", inputs.shift());
        line.writeStringField("state", inputs.state());
        line.writeNumberField("priceMicros", inputs.priceMicros());
        line.writeNumberField("capMicros", inputs.capMicros());
        line.writeNumberField("allottedMicros", inputs.allottedMicros());
        line.writeNumberField("heldMicros", inputs.heldMicros());
        line.writeNumberField("spentMicros", inputs.spentMicros());
        line.writeEndObject();
    }

    private void writeAttempts(JsonGenerator line) throws IOException {
        line.writeArrayFieldStart("attempts");
        for (int index = 0; index < request.mAttempts.size(); index++) {
            Attempt attempt = request.mAttempts.get(index);
            line.writeStartObject();
            if (attempt.mPeer != null) {
                line.writeStringField("peer", attempt.mPeer.value());
            } else {
                line.writeStringField("server", LineText.of(attempt.mServer.value()));
            }
            line.writeStringField("zone", LineText.of(attempt.mZone.value()));
            if (attempt.mCold) {
                line.writeBooleanField("cold", true);
            }
            line.writeNumberField("sentMillis", millis(attempt.mSentNanos - request.mArrivalNanos));
            line.writeStringField("result", EnumNames.of(attempt.mResult));
            if (attempt.mStatus != 0) {
                line.writeNumberField("status", attempt.mStatus);
            }
            line.writeNumberField("millis", millis(attempt.mEndNanos - attempt.mSentNanos));
            writeStatement(line, attempt.mStatement);
            line.writeEndObject();
        }
        line.writeEndArray();
    }

    private static void writeStatement(JsonGenerator line, ServerStatement statement)
            throws IOException {
        writeLimit(line, statement.limit());
        switch (statement.leaving()) {
            case LEAVING -> line.writeBooleanField("leaving", true);
            case MALFORMED -> line.writeStringField("leaving", "malformed");
            case ABSENT -> {}
            default -> throw new IllegalStateException("The leaving header is of an unknown kind.");
        }
        switch (statement.pause().kind()) {
            case PAUSE ->
                    line.writeNumberField("pauseMillis", statement.pause().length().toMillis());
            case MALFORMED -> line.writeStringField("pauseMillis", "malformed");
            case ABSENT -> {}
            default -> throw new IllegalStateException("The kind is unknown.");
        }
    }

    private static void writeLimit(JsonGenerator line, LimitHeader limit) throws IOException {
        switch (limit.kind()) {
            case LIMITED -> line.writeNumberField("limit", rounded(limit.perSecond()));
            case MALFORMED -> line.writeStringField("limit", "malformed");
            case ABSENT -> {}
            default -> throw new IllegalStateException("The kind is unknown.");
        }
    }

    private void writeChoice(JsonGenerator line) throws IOException {
        line.writeNumberField("weighed", request.mCandidates.total());
        line.writeArrayFieldStart("candidates");
        CandidateServers candidates = request.mCandidates;
        for (int index = 0; index < candidates.kept(); index++) {
            line.writeStartObject();
            line.writeStringField("server", LineText.of(candidates.server(index).value()));
            CandidateFigures figures = candidates.figures(index);
            line.writeNumberField("inFlight", figures.inFlight());
            line.writeNumberField("slots", figures.slots());
            line.writeNumberField("score", rounded(figures.score()));
            writeAge(line, "expectedLatencyMillis", figures.expectedNanos());
            writeAge(line, "speedAgeMillis", figures.speedAgeNanos());
            line.writeEndObject();
        }
        line.writeEndArray();
        if (request.mExcluded != null) {
            writeExcluded(line);
        }
    }

    private void writeExcluded(JsonGenerator line) throws IOException {
        line.writeObjectFieldStart("excluded");
        for (Exclusion exclusion : EXCLUSIONS) {
            int count = request.mExcluded.getOrDefault(exclusion, 0);
            if (count > 0) {
                line.writeNumberField(EnumNames.of(exclusion), count);
            }
        }
        line.writeEndObject();
    }

    private void writeInputs(JsonGenerator line) throws IOException {
        if (request.mCaller != null) {
            writeCaller(line, request.mCaller);
        }
        writeKnown(line, "routingVersion", request.mRoutingVersion);
        writeAge(line, "routingAgeMillis", request.mRoutingAgeNanos);
        writeRevision(line, "registryRevision", request.mRegistryRevision);
        writeAge(line, "registryAgeMillis", request.mRegistryAgeNanos);
        if (request.mShareholders > 0) {
            line.writeNumberField("shareholders", request.mShareholders);
        }
        writeAge(line, "peersAgeMillis", request.mPeersAgeNanos);
    }

    private static void writeCaller(JsonGenerator line, CallerInputs caller) throws IOException {
        if (caller.workspace() != null) {
            line.writeStringField("workspace", LineText.of(caller.workspace().value()));
        }
        writeAge(line, "proofAgeMillis", caller.proofAgeNanos());
        if (caller.isLimited()) {
            line.writeNumberField("rateCredit", rounded(caller.rateCredit()));
            line.writeNumberField("rateDemand", rounded(caller.rateDemand()));
        }
    }

    private static void writeAge(JsonGenerator line, String name, long nanos) throws IOException {
        if (nanos != RequestRecord.UNKNOWN) {
            line.writeNumberField(name, millis(nanos));
        }
    }
}
