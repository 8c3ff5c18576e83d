package io.masticpond.testing.backend;

import io.masticpond.testing.backend.BackendAnswers.ResponseHead;
import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.util.concurrent.Future;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/** Request processing of one stand-in backend server. Confined to its event loop. */
final class BackendServerWork {

    private final BackendServerSettings mSettings;
    private final EventLoop mEventLoop;
    private final ExecutionLog mLog;
    private final BackendServerState mState;
    private final ServiceTimes mTimes;
    private final SlotQueue<Exchange> mSlots;
    private final Set<Channel> mChannels = new LinkedHashSet<>();
    private final List<Runnable> mFrozenTasks = new ArrayList<>();

    BackendServerWork(BackendServerSettings settings, EventLoop eventLoop, ExecutionLog log) {
        mSettings = settings;
        mEventLoop = eventLoop;
        mLog = log;
        mState = new BackendServerState(settings);
        mTimes = new ServiceTimes(settings.meanMillis(), settings.sigma(), settings.seed());
        mSlots = new SlotQueue<>(settings.slots(), settings.queue());
    }

    void start() {
        mState.recordStart(now());
    }

    /** Resets all connections and drops all work, like a process that is killed. */
    void crash() {
        mFrozenTasks.clear();
        mSlots.removeWaiting().forEach(Exchange::end);
        List.copyOf(mChannels).forEach(BackendAnswers::reset);
    }

    void addConnection(Channel channel) {
        mChannels.add(channel);
        mState.recordConnection();
    }

    void removeConnection(Channel channel) {
        mChannels.remove(channel);
        mState.recordConnectionEnd();
    }

    void drain(DrainPlan plan) {
        mState.drain(plan, now());
    }

    void undrain() {
        mState.undrain();
    }

    BackendServerFaults faults() {
        return mState.faults();
    }

    void setFaults(BackendServerFaults faults) {
        mState.setFaults(faults);
        if (!faults.frozen()) {
            List<Runnable> tasks = List.copyOf(mFrozenTasks);
            mFrozenTasks.clear();
            tasks.forEach(Runnable::run);
        }
    }

    BackendServerCounts counts() {
        return mState.counts(mSlots.inFlight(), mSlots.highestInFlight(), now());
    }

    void resetCounts() {
        mState.resetCounts();
        mSlots.resetHighest();
    }

    void health(Channel channel) {
        mState.recordProbe();
        runUnlessFrozen(
                () -> {
                    String json = mState.report(mSlots.inFlight(), now()).health();
                    BackendAnswers.send(channel, HttpResponseStatus.OK, json, head());
                });
    }

    void load(Channel channel) {
        mState.recordProbe();
        runUnlessFrozen(
                () -> {
                    String json = mState.report(mSlots.inFlight(), now()).load();
                    BackendAnswers.send(channel, HttpResponseStatus.OK, json, head());
                });
    }

    Exchange arrive(Channel channel, FullHttpRequest request) {
        Exchange exchange = new Exchange(channel, request, now());
        mState.recordRequest(now());
        runUnlessFrozen(() -> admit(exchange));
        return exchange;
    }

    /** Ends an exchange whose connection has closed. */
    void abandon(Exchange exchange) {
        boolean running = exchange.isRunning();
        if (!exchange.end()) {
            return;
        }
        if (running) {
            mState.recordAbandoned();
            runNext();
        } else if (mSlots.withdraw(exchange)) {
            mState.recordWithdrawn();
        }
    }

    private void admit(Exchange exchange) {
        if (exchange.isEnded()) {
            return;
        }
        if (mTimes.drawsFault(mState.faults().refuseShare())) {
            exchange.end();
            BackendAnswers.reset(exchange.channel());
            return;
        }
        switch (mSlots.arrive(exchange)) {
            case RUNS -> run(exchange);
            case SHED -> shed(exchange);
            default -> {}
        }
    }

    private void shed(Exchange exchange) {
        exchange.end();
        mState.recordShed();
        BackendAnswers.sendShed(exchange.channel(), head().to(exchange));
    }

    private void run(Exchange exchange) {
        mState.recordExecution();
        int execution = mLog.record(exchange.requestId(), exchange.operationId());
        double millis = mTimes.nextMillis() * mState.workFactor(now());
        Future<?> work =
                mEventLoop.schedule(
                        () -> runUnlessFrozen(() -> finish(exchange)),
                        (long) (millis * BackendHeaders.NANOS_PER_MILLI),
                        TimeUnit.NANOSECONDS);
        exchange.run(execution, work);
    }

    private void finish(Exchange exchange) {
        if (!exchange.end()) {
            return;
        }
        respond(exchange);
        runNext();
    }

    private void runNext() {
        for (Optional<Exchange> next = mSlots.finish(); next.isPresent(); next = mSlots.finish()) {
            if (!next.get().isPastDeadline(now())) {
                run(next.get());
                return;
            }
            shed(next.get());
        }
    }

    private void respond(Exchange exchange) {
        BackendServerFaults faults = mState.faults();
        String json = BackendAnswers.echo(mSettings.id(), exchange);
        if (mTimes.drawsFault(faults.resetShare())) {
            BackendAnswers.reset(exchange.channel());
        } else if (mTimes.drawsFault(faults.truncateShare())) {
            BackendAnswers.sendTruncated(exchange.channel(), json);
        } else if (mTimes.drawsFault(faults.errorShare())) {
            HttpResponseStatus status = HttpResponseStatus.INTERNAL_SERVER_ERROR;
            BackendAnswers.send(exchange.channel(), status, json, head().to(exchange));
        } else {
            BackendAnswers.send(
                    exchange.channel(), HttpResponseStatus.OK, json, head().to(exchange));
        }
    }

    private void runUnlessFrozen(Runnable task) {
        if (mState.faults().frozen()) {
            mFrozenTasks.add(task);
            return;
        }
        task.run();
    }

    private ResponseHead head() {
        long now = now();
        return new ResponseHead(
                mState.showsLeavingHeader(now), mState.closesConnections(now), null);
    }

    private static long now() {
        return System.nanoTime();
    }
}
