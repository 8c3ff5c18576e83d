/** Shared support of the control routes of all stand-ins: JSON, validation and threads. */
package io.masticpond.testing.control;
