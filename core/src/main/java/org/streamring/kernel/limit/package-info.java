/** Limits per client account and on retries. */
@NullMarked
package org.streamring.kernel.limit;

import org.jspecify.annotations.NullMarked;
