package io.masticpond.entry.metrics;

import io.masticpond.core.probe.ProbeResult;
import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;

/** Counters of probes by their result. Safe for use by multiple threads. */
final class ProbeCounts {

    private final Map<ProbeResult, AtomicLong> mProbes = new EnumMap<>(ProbeResult.class);

    ProbeCounts() {
        for (ProbeResult result : ProbeResult.values()) {
            mProbes.put(result, new AtomicLong());
        }
    }

    void ended(ProbeResult result) {
        mProbes.get(result).getAndIncrement();
    }

    long probes(ProbeResult result) {
        return mProbes.get(result).get();
    }
}
