/** Tracks which backend servers are shutting down or have asked entries to back off. */
@NullMarked
package org.streamring.kernel.availability;

import org.jspecify.annotations.NullMarked;
