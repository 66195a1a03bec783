/** Commits claims on requests that run at most once, in groups. */
@NullMarked
package org.streamring.entry.once;

import org.jspecify.annotations.NullMarked;
