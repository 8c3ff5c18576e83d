package io.masticpond.daemon.operation;

import io.masticpond.core.operation.OperationOutcome;
import io.masticpond.daemon.steering.RequestCompletion;

/** Converter between completions of requests and outcomes of operations. */
final class OutcomeConverter {

    private OutcomeConverter() {}

    static RequestCompletion toCompletion(OperationOutcome<RequestCompletion.Answered> outcome) {
        if (outcome instanceof OperationOutcome.Answered<RequestCompletion.Answered> answered) {
            return answered.answer();
        }
        return new RequestCompletion.Refused(
                ((OperationOutcome.Refused<RequestCompletion.Answered>) outcome).refusal());
    }

    static OperationOutcome<RequestCompletion.Answered> toOutcome(RequestCompletion completion) {
        if (completion instanceof RequestCompletion.Answered answered) {
            return new OperationOutcome.Answered<>(answered);
        }
        return new OperationOutcome.Refused<>(((RequestCompletion.Refused) completion).refusal());
    }
}
