package io.masticpond.measure.decision;

import io.masticpond.core.placement.PlacementSettings;

/** Variant of the decisions with one mechanism disabled or changed, to determine its effect. */
enum DecisionVariant {
    /** All mechanisms with their default settings. */
    AS_IT_IS {
        @Override
        PlacementSettings placement() {
            return PlacementSettings.DEFAULT;
        }
    },
    /** Instances don't share the loads of servers with each other. */
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
     * Each instance knows the true load of each server at each choice, as an upper bound for the
     * effect of sharing loads.
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
    /** Every key has one home server. */
    ONE_HOME {
        @Override
        PlacementSettings placement() {
            PlacementSettings defaults = PlacementSettings.DEFAULT;
            return settingsWith(
                    1, defaults.cacheMiss(), defaults.perQueued(), defaults.otherRegion());
        }
    },
    /**
     * Every key has four home servers, and a cache miss has a low cost. Requests are spread by
     * constants instead of known loads, so loads are not shared either.
     */
    FOUR_HOMES {
        @Override
        PlacementSettings placement() {
            PlacementSettings defaults = PlacementSettings.DEFAULT;
            return settingsWith(4, 0.7, defaults.perQueued(), defaults.otherRegion());
        }

        @Override
        boolean sharesLoads() {
            return false;
        }
    },
    /** Queue lengths have no influence on the choice. */
    BLIND_TO_QUEUES {
        @Override
        PlacementSettings placement() {
            PlacementSettings defaults = PlacementSettings.DEFAULT;
            return settingsWith(defaults.homes(), defaults.cacheMiss(), 0, defaults.otherRegion());
        }
    },
    /** Other regions have the same cost as the own region. */
    NO_REGIONS {
        @Override
        PlacementSettings placement() {
            PlacementSettings defaults = PlacementSettings.DEFAULT;
            return settingsWith(defaults.homes(), defaults.cacheMiss(), defaults.perQueued(), 0);
        }
    };

    abstract PlacementSettings placement();

    /** Determines whether the instances of a zone share the loads of servers with each other. */
    boolean sharesLoads() {
        return true;
    }

    /** Determines whether each instance knows the true load of each server. */
    boolean knowsTrueLoads() {
        return false;
    }

    private static PlacementSettings settingsWith(
            int homes, double cacheMiss, double perQueued, double otherRegion) {
        PlacementSettings defaults = PlacementSettings.DEFAULT;
        return new PlacementSettings(
                defaults.otherZone(),
                otherRegion,
                homes,
                defaults.perHome(),
                cacheMiss,
                perQueued,
                defaults.perBusy(),
                defaults.failing());
    }
}
