/** Closing the leases of an entry that died or was paused: fence, collect receipts, settle once. */
@NullMarked
package org.streamring.kernel.recovery;

import org.jspecify.annotations.NullMarked;
