package io.masticpond.measure.decision;

import io.masticpond.core.placement.PlacementSettings;

/** One mechanism switched off or set otherwise, to tell what it is worth. */
enum DecisionVariant {
    /** All as it is. */
    AS_IT_IS {
        @Override
        PlacementSettings placement() {
            return PlacementSettings.DEFAULT;
        }
    },
    /** Instances tell each other no loads. */
    NO_SHARED_LOADS {
        @Override
        PlacementSettings placement() {
            return PlacementSettings.DEFAULT;
        }

        @Override
        boolean sharesLoads() {
            return false;
        }
    },
    /**
     * Each instance knows the true load of each server at each choice: what sharing could bring.
     */
    TRUE_LOADS {
        @Override
        PlacementSettings placement() {
            return PlacementSettings.DEFAULT;
        }

        @Override
        boolean knowsTrueLoads() {
            return true;
        }
    },
    /** Every key has one server. */
    ONE_HOME {
        @Override
        PlacementSettings placement() {
            PlacementSettings all = PlacementSettings.DEFAULT;
            return with(1, all.cacheMiss(), all.perQueued(), all.otherRegion());
        }
    },
    /**
     * Every key has four servers, and a cache miss costs little: spreading by constants in place of
     * knowledge, so loads are not shared either.
     */
    FOUR_HOMES {
        @Override
        PlacementSettings placement() {
            PlacementSettings all = PlacementSettings.DEFAULT;
            return with(4, 0.7, all.perQueued(), all.otherRegion());
        }

        @Override
        boolean sharesLoads() {
            return false;
        }
    },
    /** Queues count for nothing in the choice. */
    BLIND_TO_QUEUES {
        @Override
        PlacementSettings placement() {
            PlacementSettings all = PlacementSettings.DEFAULT;
            return with(all.homes(), all.cacheMiss(), 0, all.otherRegion());
        }
    },
    /** Other regions are as near as the own one. */
    NO_REGIONS {
        @Override
        PlacementSettings placement() {
            PlacementSettings all = PlacementSettings.DEFAULT;
            return with(all.homes(), all.cacheMiss(), all.perQueued(), 0);
        }
    };

    abstract PlacementSettings placement();

    /** Tells whether the instances of a zone tell each other the loads of servers. */
    boolean sharesLoads() {
        return true;
    }

    /** Tells whether loads are known as they are. */
    boolean knowsTrueLoads() {
        return false;
    }

    private static PlacementSettings with(
            int homes, double cacheMiss, double perQueued, double otherRegion) {
        PlacementSettings all = PlacementSettings.DEFAULT;
        return new PlacementSettings(
                all.otherZone(),
                otherRegion,
                homes,
                all.perHome(),
                cacheMiss,
                perQueued,
                all.perBusy(),
                all.failing());
    }
}
