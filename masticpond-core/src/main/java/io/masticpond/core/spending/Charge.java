package io.masticpond.core.spending;

import io.masticpond.core.id.ServiceId;
import io.masticpond.core.id.ShiftId;

/**
 * Amount charged for one attempt.
 *
 * @param service the service
 * @param shift the shift whose allotment was charged
 * @param micros the amount in millionths of the operators' currency unit
 * @since 0.1
 */
public record Charge(ServiceId service, ShiftId shift, long micros) {}
