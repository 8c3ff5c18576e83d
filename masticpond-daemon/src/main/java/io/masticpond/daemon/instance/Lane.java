package io.masticpond.daemon.instance;

import io.masticpond.protocol.generated.Envelope;
import io.masticpond.protocol.generated.LaneKind;

/**
 * Kind of connection between two instances. Large and small frames use separate connections, so
 * that large frames do not delay small ones.
 */
enum Lane {
    /** Heartbeats, cancellations and other small messages. */
    CONTROL(LaneKind.CONTROL),
    /** Forwarded requests, configurations and outcomes. */
    BULK(LaneKind.BULK);

    private final LaneKind mKind;

    Lane(LaneKind kind) {
        mKind = kind;
    }

    LaneKind kind() {
        return mKind;
    }

    /** Returns the lane for a kind of message. */
    static Lane of(Envelope.BodyCase body) {
        return switch (body) {
            case FORWARD,
                    FORWARD_ANSWER,
                    CANCEL,
                    CONFIGURATION_FETCH,
                    CONFIGURATION_PUSH,
                    OPERATION_ASK,
                    OUTCOME_HANDOVER,
                    HANDOVER_RECEIPT ->
                    BULK;
            case HELLO, HEARTBEAT, LINK_ERROR, BODY_NOT_SET -> CONTROL;
        };
    }

    /** Returns the lane that a Hello requests. */
    static Lane of(LaneKind kind) {
        return kind == LaneKind.BULK ? BULK : CONTROL;
    }
}
