package io.masticpond.measure.rate;

/** Patterns of load and faults over the seconds of a simulation. */
enum RatePattern {
    /** Typical load, with the peaks of the regions at different times. */
    CALM(Load.USUAL),
    /** The workspace sends 7.5 times its typical load, in two bursts. */
    HOT(Load.HOT),
    /** The same bursts, with a load close to the rate before and between them. */
    HOT_AT_THE_RATE(Load.HOT_AT_THE_RATE),
    /** Typical load while all regions are partitioned from each other. */
    CUT(Load.USUAL) {
        @Override
        boolean isPartitioned(double second) {
            return second >= 10 && second < 18;
        }
    },
    /** A hot workspace while all regions are partitioned from each other. */
    HOT_AND_CUT(Load.HOT) {
        @Override
        boolean isPartitioned(double second) {
            return second >= 10 && second < 18;
        }
    },
    /** A hot workspace while all instances are killed and start again a second later. */
    HOT_AND_KILLED(Load.HOT) {
        @Override
        boolean isDown(int instance, double second) {
            return second >= 11 && second < 12;
        }
    },
    /** A hot workspace while the aggregators are killed repeatedly. */
    HOT_WITHOUT_ADDERS(Load.HOT) {
        @Override
        boolean isDown(int instance, double second) {
            return instance < AGGREGATORS_KILLED && second % 4 >= 2;
        }
    },
    /** A hot workspace while a tenth of all datagrams is lost. */
    HOT_AND_LOSSY(Load.HOT) {
        @Override
        double lossShare() {
            return 0.1;
        }
    },
    /** The rate is lowered to a third of the load. */
    LOWERED(Load.USUAL) {
        @Override
        double rate(double second) {
            return second >= 10 ? 0.2 : 1;
        }
    };

    /**
     * Number of instances that are killed, counted from the first. Instances are numbered
     * round-robin over the zones, so that the first instances of all zones come first.
     */
    private static final int AGGREGATORS_KILLED = 12;

    private final Load mLoad;

    RatePattern(Load load) {
        mLoad = load;
    }

    /** Returns the load relative to the typical load. */
    double load(double second) {
        boolean isBurst = second >= 8 && second < 14 || second >= 18 && second < 21;
        return isBurst ? mLoad.mBurstFactor : mLoad.mBaseFactor;
    }

    /** Returns the rate relative to the initial rate. */
    double rate(double second) {
        return 1;
    }

    /** Determines whether the regions are partitioned from each other. */
    boolean isPartitioned(double second) {
        return false;
    }

    /** Determines whether an instance is down. */
    boolean isDown(int instance, double second) {
        return false;
    }

    /** Returns the share of datagrams that are lost. */
    double lossShare() {
        return 0;
    }

    /** Number of requests relative to the typical load, outside the bursts and during them. */
    private enum Load {
        USUAL(1, 1),
        HOT(1, 7.5),
        HOT_AT_THE_RATE(1.55, 7.5);

        private final double mBaseFactor;
        private final double mBurstFactor;

        Load(double baseFactor, double burstFactor) {
            mBaseFactor = baseFactor;
            mBurstFactor = burstFactor;
        }
    }
}
