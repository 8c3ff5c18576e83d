package io.masticpond.measure.support;

import io.masticpond.core.id.RequestId;
import io.masticpond.core.id.ServiceId;
import io.masticpond.core.request.Refusal;
import io.masticpond.core.support.Assert;
import io.masticpond.daemon.caller.CallerService;
import io.masticpond.daemon.steering.RequestCompletion;
import io.masticpond.daemon.steering.SteeredRequest;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * Base class for a {@link CallerService} that is always ready, issues no operation keys and refuses
 * each request immediately.
 *
 * @since 0.2
 */
public abstract class AbstractRefusingCallerService implements CallerService {

    private final Refusal mRefusal;

    /**
     * Creates a service.
     *
     * @param refusal the refusal with which each request ends
     */
    protected AbstractRefusingCallerService(Refusal refusal) {
        mRefusal = Assert.notNull(refusal, "A refusal");
    }

    @Override
    public final Optional<String> unreadyReason() {
        return Optional.empty();
    }

    @Override
    public final Optional<String> operationKey(ServiceId service) {
        return Optional.empty();
    }

    @Override
    public final void submit(
            SteeredRequest request, OperationKeys keys, Consumer<RequestCompletion> listener) {
        listener.accept(new RequestCompletion.Refused(mRefusal));
    }

    @Override
    public final void cancel(RequestId request) {}
}
