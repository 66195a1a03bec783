/** Claims in the table on requests that run at most once. */
@NullMarked
package org.streamring.kernel.once;

import org.jspecify.annotations.NullMarked;
