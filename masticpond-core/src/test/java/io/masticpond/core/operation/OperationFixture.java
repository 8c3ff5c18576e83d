package io.masticpond.core.operation;

import io.masticpond.core.id.Incarnation;
import io.masticpond.core.id.InstanceId;
import io.masticpond.core.id.RequestId;
import io.masticpond.core.id.ServiceId;
import io.masticpond.core.request.OperationKind;
import io.masticpond.core.request.Refusal;
import io.masticpond.core.request.RefusalCause;
import io.masticpond.core.request.RequestHead;
import io.masticpond.core.time.ManualTimeSource;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;

/** Test fixture: one home with a clock that the test controls; answers are plain strings. */
final class OperationFixture {

    static final Duration LIFETIME = Duration.ofMinutes(10);
    static final Fingerprint RESERVE = fingerprint("reserve plate 7");
    static final Fingerprint RELEASE = fingerprint("release nest 3");
    static final RequestHead HEAD =
            new RequestHead(
                    new RequestId("r1"),
                    new ServiceId("plate-ledger"),
                    1_000_000_000L,
                    5,
                    OperationKind.ONCE_ONLY);

    final ManualTimeSource mTime = new ManualTimeSource(Instant.parse("2026-12-02T06:00:00Z"));
    final Map<Incarnation, HomeState> mHomes = new HashMap<>();
    final HomeClock mClock = new HomeClock(mTime);
    final OperationKeyIssuer mIssuer;
    final OperationRegistry<String> mRegistry;

    OperationFixture() {
        this(home("casa-1", 1), OperationLimits.DEFAULT);
    }

    OperationFixture(Incarnation home, OperationLimits limits) {
        mIssuer = new OperationKeyIssuer(home, authenticator(home), mClock, LIFETIME);
        mRegistry =
                new OperationRegistry<>(
                        mIssuer,
                        other -> mHomes.getOrDefault(other, HomeState.UNREACHABLE),
                        mClock,
                        limits,
                        String::length);
    }

    static Incarnation home(String instance, long number) {
        return new Incarnation(new InstanceId(instance), number);
    }

    static KeyAuthenticator authenticator(Incarnation home) {
        return new HmacKeyAuthenticator(
                ("a secret of the run " + home).getBytes(StandardCharsets.UTF_8));
    }

    static Fingerprint fingerprint(String body) {
        return Fingerprint.of("POST", "/plates", body.getBytes(StandardCharsets.UTF_8));
    }

    static OperationOutcome<String> answered(String answer) {
        return new OperationOutcome.Answered<>(answer);
    }

    static OperationOutcome<String> mayHaveRun() {
        return new OperationOutcome.Refused<>(
                Refusal.mayHaveRun(RefusalCause.DEADLINE, "No answer came in time."));
    }

    static OperationOutcome<String> didNotRun() {
        return new OperationOutcome.Refused<>(
                Refusal.didNotRun(RefusalCause.NO_CAPACITY, "There is no slot."));
    }

    OperationDecision<String> begin(OperationKey key) {
        return mRegistry.begin(key, RESERVE, HEAD);
    }
}
