package io.masticpond.entry.wiring;

import java.lang.annotation.Retention;
import java.lang.annotation.RetentionPolicy;
import javax.inject.Qualifier;

/**
 * Qualifier of the log that writes the lines, as distinct from its decorators that count requests
 * and keep recent decisions.
 *
 * @since 0.2
 */
@Qualifier
@Retention(RetentionPolicy.CLASS)
public @interface WrittenLog {}
