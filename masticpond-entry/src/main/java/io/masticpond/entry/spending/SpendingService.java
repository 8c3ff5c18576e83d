package io.masticpond.entry.spending;

import io.masticpond.core.configuration.Configuration;
import io.masticpond.core.configuration.ConfigurationContent;
import io.masticpond.core.configuration.PriceSpecification;
import io.masticpond.core.configuration.ServiceSpecification;
import io.masticpond.core.id.ConfigurationVersion;
import io.masticpond.core.id.Incarnation;
import io.masticpond.core.id.RegionId;
import io.masticpond.core.id.ServiceId;
import io.masticpond.core.id.ZoneId;
import io.masticpond.core.request.Refusal;
import io.masticpond.core.request.RefusalCause;
import io.masticpond.core.spending.AllotmentPolicy;
import io.masticpond.core.spending.Charge;
import io.masticpond.core.spending.DefaultSpendingGate;
import io.masticpond.core.spending.LedgerAnswer;
import io.masticpond.core.spending.LedgerKey;
import io.masticpond.core.spending.SpendingView;
import io.masticpond.core.support.Assert;
import io.masticpond.core.time.TimeSource;
import io.masticpond.core.timeline.TimelinePart;
import io.masticpond.entry.log.SpendingInputs;
import io.masticpond.entry.replica.ConditionalStore;
import io.masticpond.entry.replica.Scheduler;
import io.masticpond.entry.request.SpendingCheck;
import io.masticpond.entry.request.SpendingRefusal;
import io.masticpond.entry.settings.SpendingSettings;
import io.masticpond.entry.settings.SpendingSettings.ServiceSpending;
import io.vavr.control.Either;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.function.IntSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * {@link SpendingCheck} that charges attempts to the allotments that this instance holds. It
 * connects the state machines of the core to the traffic thread, which owns them, and to the store,
 * which is queried on the control thread.
 *
 * @since 0.3
 */
public final class SpendingService implements SpendingCheck {

    /** Interval at which the spending gate is advanced. */
    public static final Duration PERIOD = Duration.ofMillis(100);

    private static final Logger sLogger = LoggerFactory.getLogger(SpendingService.class);
    private static final long DEFAULT_DEADLINE_MILLIS = 1_000;
    private static final Duration NO_ALLOTMENT_RETRY_DELAY = Duration.ofSeconds(1);

    /** Retry delay returned to a client if no shift with a cap begins within a week. */
    private static final Duration NO_SHIFT_RETRY_DELAY = Duration.ofDays(1);

    private final SpendingPrices mPrices;
    private final TimeSource mTimeSource;
    private final Scheduler mTraffic;
    private final IntSupplier mHolderCount;
    private final DefaultSpendingGate mGate;
    private final Configuration mCaps;
    private int mReportedHolderCount;
    private boolean mStarted;
    private volatile boolean mStopped;

    /**
     * Creates a service that holds no allotment yet.
     *
     * @param settings the caps and prices
     * @param regions the region of each zone
     * @param self the incarnation of this instance
     * @param store the store of the ledgers
     * @param writesPerSecond the highest number of ledger changes per second by all instances
     *     together
     * @param holderCount number of instances among which the caps are divided
     * @param traffic scheduler of the traffic thread
     * @param control executor of the control thread
     * @param timeSource the wall clock and the monotonic clock
     */
    public SpendingService(
            SpendingSettings settings,
            Map<ZoneId, RegionId> regions,
            Incarnation self,
            ConditionalStore store,
            int writesPerSecond,
            IntSupplier holderCount,
            Scheduler traffic,
            Executor control,
            TimeSource timeSource) {
        mPrices = new SpendingPrices(settings, regions);
        mTimeSource = Assert.notNull(timeSource, "A time source");
        mTraffic = Assert.notNull(traffic, "A scheduler of the traffic thread");
        mHolderCount = Assert.notNull(holderCount, "A count of holders");
        AllotmentPolicy defaults = AllotmentPolicy.DEFAULT;
        mGate =
                new DefaultSpendingGate(
                        self,
                        new AllotmentPolicy(
                                settings.cover(), defaults.shareDivisor(), writesPerSecond),
                        settings.clockError(),
                        new StoreLedgers(store, settings.ledgers(), control, this::onLedgerAnswer),
                        timeSource,
                        SpendingService::log,
                        self.hashCode());
        mCaps = configuration(settings);
    }

    @Override
    public void onStoreRestored() {
        mGate.onPlatformRestored();
    }

    @Override
    public void start() {
        if (!mStarted) {
            mStarted = true;
            reportHolders();
            mGate.configure(mCaps);
            mTraffic.schedule(PERIOD, this::tick);
        }
    }

    @Override
    public Either<SpendingRefusal, Charge> charge(ServiceId service, ZoneId zone) {
        start();
        long price = mPrices.priceMicros(service, zone);
        Either<Refusal, Charge> charge = mGate.charge(service, price);
        return charge.mapLeft(refusal -> refusal(refusal, service, price));
    }

    @Override
    public void refund(Charge charge) {
        mGate.refund(charge);
    }

    @Override
    public List<SpendingView> views() {
        return mGate.views();
    }

    @Override
    public void stop() {
        mGate.stop();
        mStopped = mGate.isStopped();
    }

    @Override
    public boolean isStopped() {
        return mStopped;
    }

    private void tick() {
        reportHolders();
        mGate.advance();
        mStopped = mGate.isStopped();
        mTraffic.schedule(PERIOD, this::tick);
    }

    private void reportHolders() {
        int holders = Math.max(1, mHolderCount.getAsInt());
        if (holders != mReportedHolderCount) {
            mReportedHolderCount = holders;
            mGate.setHolders(holders);
        }
    }

    private void onLedgerAnswer(LedgerKey key, LedgerAnswer answer) {
        mTraffic.schedule(Duration.ZERO, () -> mGate.onAnswer(key, answer));
    }

    private SpendingRefusal refusal(Refusal refusal, ServiceId service, long price) {
        boolean isTemporary = refusal.cause() != RefusalCause.SPENDING_CAP;
        String cause = isTemporary ? "no-allotment" : refusal.cause().text();
        return new SpendingRefusal(
                cause,
                refusal.retryAfter()
                        .orElse(isTemporary ? NO_ALLOTMENT_RETRY_DELAY : NO_SHIFT_RETRY_DELAY),
                inputs(refusal, service, price));
    }

    private SpendingInputs inputs(Refusal refusal, ServiceId service, long price) {
        Instant now = mTimeSource.instant();
        Optional<SpendingView> current =
                mGate.views().stream()
                        .filter(view -> view.key().service().equals(service))
                        .filter(view -> view.shift().contains(now))
                        .findFirst();
        return current.map(view -> inputs(view, price))
                .orElseGet(
                        () ->
                                new SpendingInputs(
                                        "none", refusal.cause().text(), price, 0, 0, 0, 0));
    }

    private static SpendingInputs inputs(SpendingView view, long price) {
        return new SpendingInputs(
                view.key().shift().value(),
                view.state().text(),
                price,
                view.capMicros(),
                view.allottedMicros(),
                view.availableMicros(),
                view.spentMicros());
    }

    private static void log(
            TimelinePart part, String event, String service, String object, String detail) {
        sLogger.warn("SPEND  {} of {}: {} {}", event, service, object, detail);
    }

    /**
     * Returns the caps in the form that the core takes. All other parts of the configuration are
     * empty, since spending does not depend on them.
     */
    private static Configuration configuration(SpendingSettings settings) {
        List<ServiceSpecification> services =
                settings.services().stream().map(SpendingService::specification).toList();
        return new Configuration(
                new ConfigurationVersion(settings.version()),
                Optional.empty(),
                new ConfigurationContent(List.of(), List.of(), services, List.of(), List.of()));
    }

    private static ServiceSpecification specification(ServiceSpending spending) {
        return new ServiceSpecification(
                spending.service(),
                DEFAULT_DEADLINE_MILLIS,
                List.of(),
                List.of(),
                spending.prices().entrySet().stream()
                        .map(price -> new PriceSpecification(price.getKey(), price.getValue()))
                        .toList(),
                Optional.of(spending.shifts()));
    }
}
