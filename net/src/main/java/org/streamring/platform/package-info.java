/** Adapters to the services of the platform, discovered by {@link java.util.ServiceLoader}. */
@NullMarked
package org.streamring.platform;

import org.jspecify.annotations.NullMarked;
