/** Closes the leases of dead entries and settles held tokens after sidecars have reconnected. */
@NullMarked
package org.streamring.entry.recovery;

import org.jspecify.annotations.NullMarked;
