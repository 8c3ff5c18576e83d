package io.masticpond.core.region;

import io.masticpond.core.id.RegionId;
import io.masticpond.core.request.Refusal;
import io.vavr.control.Either;
import java.util.HashMap;
import java.util.Map;

/**
 * Statistics of the regions chosen for requests, and of the changes from one request to the next.
 */
final class RegionChoiceStatistics {

    private final Map<RegionId, Integer> mCounts = new HashMap<>();
    private RegionId mLast;
    private int mChanges;
    private int mRefused;

    void add(Either<Refusal, RegionId> choice) {
        if (choice.isLeft()) {
            mRefused++;
            return;
        }
        RegionId region = choice.get();
        mCounts.merge(region, 1, Integer::sum);
        if (mLast != null && !mLast.equals(region)) {
            mChanges++;
        }
        mLast = region;
    }

    int count(RegionId region) {
        return mCounts.getOrDefault(region, 0);
    }

    int changes() {
        return mChanges;
    }

    int refused() {
        return mRefused;
    }
}
