package io.masticpond.daemon.wiring;

import java.lang.annotation.Retention;
import java.lang.annotation.RetentionPolicy;
import javax.inject.Qualifier;

/**
 * Qualifier of the event loop to which the request path is confined.
 *
 * @since 0.1
 */
@Qualifier
@Retention(RetentionPolicy.RUNTIME)
public @interface SteeringThread {}
