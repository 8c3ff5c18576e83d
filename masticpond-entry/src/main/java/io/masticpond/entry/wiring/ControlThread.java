package io.masticpond.entry.wiring;

import java.lang.annotation.Retention;
import java.lang.annotation.RetentionPolicy;
import javax.inject.Qualifier;

/** Marks what runs on the control thread. */
@Qualifier
@Retention(RetentionPolicy.CLASS)
@interface ControlThread {}
