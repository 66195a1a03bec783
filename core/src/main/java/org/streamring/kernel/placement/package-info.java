/** Chooses the replica for a request that an entry sends directly to backend servers. */
@NullMarked
package org.streamring.kernel.placement;

import org.jspecify.annotations.NullMarked;
