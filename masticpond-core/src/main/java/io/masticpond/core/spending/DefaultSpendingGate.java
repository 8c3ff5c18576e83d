package io.masticpond.core.spending;

import io.masticpond.core.configuration.Configuration;
import io.masticpond.core.configuration.PriceSpecification;
import io.masticpond.core.configuration.ServiceSpecification;
import io.masticpond.core.configuration.SpendingSpecification;
import io.masticpond.core.id.ConfigurationVersion;
import io.masticpond.core.id.Incarnation;
import io.masticpond.core.id.ServiceId;
import io.masticpond.core.id.ShiftId;
import io.masticpond.core.request.Refusal;
import io.masticpond.core.support.Assert;
import io.masticpond.core.time.TimeSource;
import io.masticpond.core.timeline.Timeline;
import io.masticpond.core.timeline.TimelinePart;
import io.vavr.control.Either;
import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Default implementation of {@link SpendingGate} that charges attempts to the accounts of this
 * incarnation and keeps an account for each service and shift that may be charged now or soon.
 *
 * <p>A state machine that must be used by one thread only. A service without spending caps is not
 * charged. Outside all shifts nothing may be spent. Within the clock error of a boundary between
 * two shifts a charge is taken from both, and only the part from the shift that the instance's
 * clock is in can be refunded.
 *
 * @since 0.1
 */
public final class DefaultSpendingGate implements SpendingGate {

    /** Time before the start of a shift at which its first allotment is requested. */
    public static final Duration PREFETCH = Duration.ofMinutes(20);

    private static final ShiftId NO_SHIFT = new ShiftId("no-shift");
    private static final Duration CLOSE_DELAY_AFTER_SHIFT = Duration.ofSeconds(60);
    private static final Duration RETENTION_AFTER_SHIFT = Duration.ofMinutes(15);
    private static final Duration REVIEW_PERIOD = Duration.ofSeconds(1);
    private static final Duration RETRY_DELAY = Duration.ofSeconds(1);

    private final SpendingContext mContext;
    private final Duration mClockError;
    private final Timeline mTimeline;
    private final Duration mJitter;
    private final Map<ServiceId, ServiceShifts> mServices = new HashMap<>();
    private final Map<LedgerKey, SpendingAccount> mAccounts = new HashMap<>();
    private ConfigurationVersion mVersion = ConfigurationVersion.NONE;
    private int mHolders = 1;
    private long mNextReviewNanos;
    private boolean mIsStopping;

    /**
     * Creates a gate without a configuration, which charges nothing.
     *
     * @param holder the incarnation of this instance
     * @param policy the policy that sizes allotments
     * @param clockError the maximum error of an instance's clock
     * @param sink the receiver of calls to the platform
     * @param timeSource the clocks
     * @param timeline the timeline that records refusals and faults
     * @param seed the seed of the jitter
     */
    public DefaultSpendingGate(
            Incarnation holder,
            AllotmentPolicy policy,
            Duration clockError,
            LedgerSink sink,
            TimeSource timeSource,
            Timeline timeline,
            long seed) {
        mContext =
                new SpendingContext(
                        holder,
                        policy,
                        sink,
                        timeSource,
                        RandomSource.XO_RO_SHI_RO_128_PP.create(seed),
                        new LedgerSequence());
        mNextReviewNanos = timeSource.monotonicNanos();
        mClockError = clockError;
        mTimeline = timeline;
        mJitter = Duration.ofNanos(mContext.random().nextLong(PREFETCH.dividedBy(2).toNanos()));
    }

    /**
     * Applies the services' caps; accounts of services that no longer have one are closed.
     *
     * @param configuration the configuration in force; an earlier one than before is ignored
     */
    public void configure(Configuration configuration) {
        if (!configuration.version().isAfter(mVersion)) {
            return;
        }
        mVersion = configuration.version();
        mServices.clear();
        for (ServiceSpecification service : configuration.content().services()) {
            service.spending().ifPresent(spending -> addService(service, spending));
        }
        reviewImmediately();
    }

    /**
     * Sets the number of instances that share the caps.
     *
     * @param holders the number of live instances, this one included
     */
    public void setHolders(int holders) {
        mHolders = (int) Assert.positive(holders, "A number of holders");
        mAccounts.values().forEach(account -> account.setHolders(holders));
    }

    @Override
    public Either<Refusal, Charge> charge(ServiceId service, long priceMicros) {
        Assert.notNegative(priceMicros, "A price");
        ServiceShifts serviceShifts = mServices.get(service);
        if (serviceShifts == null) {
            return Either.right(new Charge(service, NO_SHIFT, priceMicros));
        }
        Instant now = mContext.timeSource().instant();
        List<Shift> shifts = serviceShifts.chargedAt(now);
        if (shifts.isEmpty()) {
            return chargeOutsideShifts(service, priceMicros, serviceShifts, now);
        }
        for (int index = 0; index < shifts.size(); index++) {
            SpendingAccount account = account(service, shifts.get(index));
            if (priceMicros > 0 && !account.charge(priceMicros)) {
                refundAll(service, shifts.subList(0, index), priceMicros);
                return Either.left(refusal(account.stateFor(priceMicros), serviceShifts, now));
            }
        }
        return Either.right(new Charge(service, shifts.get(0).id(), priceMicros));
    }

    @Override
    public void refund(Charge charge) {
        SpendingAccount account = mAccounts.get(new LedgerKey(charge.service(), charge.shift()));
        if (account != null && account.canRefund(charge.micros())) {
            account.refund(charge.micros());
        }
    }

    /**
     * Processes the answer to a call for a ledger.
     *
     * @param key the ledger
     * @param answer the answer of the platform
     */
    public void onAnswer(LedgerKey key, LedgerAnswer answer) {
        SpendingAccount account = mAccounts.get(key);
        if (account == null) {
            return;
        }
        AccountState before = account.exchangeState();
        account.onAnswer(answer);
        AccountState after = account.exchangeState();
        if (before != after) {
            record("ledger-" + after.text(), key, answer);
        }
    }

    /**
     * Advances to the current time: opens and closes accounts, and makes the calls that are due.
     */
    public void advance() {
        long nanos = mContext.timeSource().monotonicNanos();
        if (nanos - mNextReviewNanos >= 0) {
            mNextReviewNanos = nanos + REVIEW_PERIOD.toNanos();
            review(mContext.timeSource().instant());
        }
        mAccounts.values().forEach(SpendingAccount::advance);
    }

    /** Reads all ledgers again, since the platform was restored from an older copy. */
    public void onPlatformRestored() {
        mAccounts.values().forEach(SpendingAccount::readAgain);
    }

    /** Starts a planned stop: refuses charges from now on and returns allotments. */
    public void stop() {
        mIsStopping = true;
        reviewImmediately();
    }

    /**
     * Determines whether a planned stop has returned all allotments.
     *
     * @return {@code true} if nothing is left to return; stays {@code false} while the platform is
     *     unavailable
     */
    public boolean isStopped() {
        return mIsStopping && mAccounts.values().stream().allMatch(SpendingAccount::isClosed);
    }

    /**
     * Returns snapshots of the accounts of this instance.
     *
     * @return a view for each service and shift, sorted by the name of the ledger
     */
    public List<SpendingView> views() {
        return mAccounts.values().stream()
                .map(SpendingAccount::view)
                .sorted(Comparator.comparing(view -> view.key().objectName()))
                .toList();
    }

    /** Opens accounts that are due, and closes those of shifts that have ended. */
    private void review(Instant now) {
        mServices.forEach((service, shifts) -> openDueAccounts(service, shifts, now));
        for (Map.Entry<LedgerKey, SpendingAccount> entry : List.copyOf(mAccounts.entrySet())) {
            SpendingAccount account = entry.getValue();
            account.setClosing(mIsStopping || !isNeeded(entry.getKey(), account, now));
            if (!mIsStopping && account.isClosed() && isRetentionOver(account, now)) {
                mAccounts.remove(entry.getKey());
            }
        }
    }

    private void reviewImmediately() {
        mNextReviewNanos = mContext.timeSource().monotonicNanos();
        advance();
    }

    private void addService(ServiceSpecification service, SpendingSpecification spending) {
        List<String> faults = ShiftCalendar.faults(spending);
        if (!faults.isEmpty()) {
            String name = service.id().value();
            mTimeline.record(TimelinePart.SPEND, "shifts-faulty", name, "", faults.get(0));
        }
        ShiftCalendar calendar =
                faults.isEmpty() ? ShiftCalendar.of(spending, mClockError) : ShiftCalendar.NONE;
        mServices.put(service.id(), new ServiceShifts(calendar, highestPrice(service)));
    }

    private static long highestPrice(ServiceSpecification service) {
        return service.prices().stream()
                .mapToLong(PriceSpecification::requestMicros)
                .max()
                .orElse(0);
    }

    private void openDueAccounts(ServiceId service, ServiceShifts shifts, Instant now) {
        shifts.chargedAt(now).forEach(shift -> account(service, shift));
        shifts.next(now)
                .filter(shift -> now.plus(PREFETCH).minus(mJitter).isAfter(shift.start()))
                .ifPresent(shift -> account(service, shift));
    }

    private SpendingAccount account(ServiceId service, Shift shift) {
        LedgerKey key = new LedgerKey(service, shift.id());
        SpendingAccount account = mAccounts.get(key);
        if (account == null) {
            account = new SpendingAccount(key, shift, capOf(shift), mContext);
            account.setHolders(mHolders);
            account.setClosing(mIsStopping);
            account.raiseHighestPrice(mServices.get(service).highestPriceMicros());
            mAccounts.put(key, account);
        }
        return account;
    }

    private SpendingCap capOf(Shift shift) {
        return new SpendingCap(shift.capMicros(), mVersion);
    }

    private boolean isNeeded(LedgerKey key, SpendingAccount account, Instant now) {
        ServiceShifts shifts = mServices.get(key.service());
        if (shifts == null) {
            return false;
        }
        Optional<Shift> shift = shifts.shift(key.shift());
        shift.ifPresent(found -> account.applyTerms(found, capOf(found)));
        account.raiseHighestPrice(shifts.highestPriceMicros());
        return shift.filter(found -> found.end().plus(CLOSE_DELAY_AFTER_SHIFT).isAfter(now))
                .isPresent();
    }

    private static boolean isRetentionOver(SpendingAccount account, Instant now) {
        return account.shift().end().plus(RETENTION_AFTER_SHIFT).isBefore(now);
    }

    private void refundAll(ServiceId service, List<Shift> shifts, long micros) {
        shifts.forEach(shift -> account(service, shift).refund(micros));
    }

    private Either<Refusal, Charge> chargeOutsideShifts(
            ServiceId service, long priceMicros, ServiceShifts shifts, Instant now) {
        if (priceMicros == 0) {
            return Either.right(new Charge(service, NO_SHIFT, 0));
        }
        return Either.left(refusal(AccountState.EXHAUSTED, shifts, now));
    }

    private Refusal refusal(AccountState state, ServiceShifts shifts, Instant now) {
        Refusal refusal = Refusal.didNotRun(state.cause(), state.detail());
        if (state != AccountState.EXHAUSTED) {
            return refusal.retryAfter(RETRY_DELAY);
        }
        return shifts.next(now)
                .map(next -> Duration.between(now, next.start()).plus(mClockError))
                .map(refusal::retryAfter)
                .orElse(refusal);
    }

    private void record(String event, LedgerKey key, LedgerAnswer answer) {
        String detail =
                answer instanceof LedgerAnswer.Unreadable unreadable ? unreadable.reason() : "";
        mTimeline.record(
                TimelinePart.SPEND, event, key.service().value(), key.objectName(), detail);
    }
}
