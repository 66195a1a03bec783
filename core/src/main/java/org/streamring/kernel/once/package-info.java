/** Claims in the table, which bind requests that run at most once to a sidecar. */
@NullMarked
package org.streamring.kernel.once;

import org.jspecify.annotations.NullMarked;
