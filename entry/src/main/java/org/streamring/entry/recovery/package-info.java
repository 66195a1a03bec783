/** Closes the leases of dead entries and settles held tokens when sidecars come back. */
@NullMarked
package org.streamring.entry.recovery;

import org.jspecify.annotations.NullMarked;
