package io.masticpond.daemon.metrics;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadInfo;
import java.lang.management.ThreadMXBean;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.Map;

/**
 * Meter of the processor time of threads by role. Thread-safe.
 *
 * <p>The time of a thread that has ended counts up to the last measurement before its end, so that
 * the sums never decrease.
 */
final class ThreadCpuMeter {

    private final ThreadMXBean mThreads = ManagementFactory.getThreadMXBean();
    private final Map<ThreadRole, Long> mNanosByRole = new EnumMap<>(ThreadRole.class);
    private Map<Long, Long> mLastNanosById = new HashMap<>();

    ThreadCpuMeter() {
        for (ThreadRole role : ThreadRole.values()) {
            mNanosByRole.put(role, 0L);
        }
    }

    /** Measures the processor time now, and returns the sums by role, in nanoseconds. */
    synchronized Map<ThreadRole, Long> measure() {
        Map<Long, Long> nanosById = new HashMap<>();
        for (ThreadInfo thread : mThreads.getThreadInfo(mThreads.getAllThreadIds())) {
            long nanos = thread == null ? -1 : mThreads.getThreadCpuTime(thread.getThreadId());
            if (nanos < 0) {
                continue;
            }
            nanosById.put(thread.getThreadId(), nanos);
            long used = nanos - mLastNanosById.getOrDefault(thread.getThreadId(), 0L);
            mNanosByRole.merge(ThreadRole.ofThread(thread.getThreadName()), used, Long::sum);
        }
        mLastNanosById = nanosById;
        return new EnumMap<>(mNanosByRole);
    }
}
