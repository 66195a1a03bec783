/** Limits on requests per client account and rank, and on retries. */
@NullMarked
package org.streamring.kernel.limit;

import org.jspecify.annotations.NullMarked;
