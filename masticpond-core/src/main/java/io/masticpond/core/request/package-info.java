/** Requests as seen by decisions, and their possible outcomes. Independent of bodies and HTTP. */
package io.masticpond.core.request;
