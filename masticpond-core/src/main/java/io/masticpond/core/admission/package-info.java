/** Admission of requests to the slots of backend servers near the instance. Performs no I/O. */
package io.masticpond.core.admission;
