/** Value types for identifiers, which must not depend on what they identify. */
package io.masticpond.core.id;
