/** Commits claims on requests that run at most once, in batches. */
@NullMarked
package org.streamring.entry.once;

import org.jspecify.annotations.NullMarked;
