/**
 * Closes the leases of an entry that died or was paused: fences the entry, collects receipts and settles each lease
 * once.
 */
@NullMarked
package org.streamring.kernel.recovery;

import org.jspecify.annotations.NullMarked;
