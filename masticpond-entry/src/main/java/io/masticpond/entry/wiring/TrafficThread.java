package io.masticpond.entry.wiring;

import java.lang.annotation.Retention;
import java.lang.annotation.RetentionPolicy;
import javax.inject.Qualifier;

/** Qualifier of event loops of the traffic thread. */
@Qualifier
@Retention(RetentionPolicy.CLASS)
@interface TrafficThread {}
