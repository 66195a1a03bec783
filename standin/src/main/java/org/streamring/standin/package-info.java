/** Stand-ins for the platform, model engines and plain services; for tests and the quick start only. */
@NullMarked
package org.streamring.standin;

import org.jspecify.annotations.NullMarked;
