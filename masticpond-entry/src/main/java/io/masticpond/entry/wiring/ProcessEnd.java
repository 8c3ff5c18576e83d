package io.masticpond.entry.wiring;

import java.lang.annotation.Retention;
import java.lang.annotation.RetentionPolicy;
import javax.inject.Qualifier;

/**
 * Qualifier of the action that ends the process after a planned stop.
 *
 * @since 0.2
 */
@Qualifier
@Retention(RetentionPolicy.CLASS)
public @interface ProcessEnd {}
