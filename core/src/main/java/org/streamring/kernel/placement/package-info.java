/** Chooses the replica of a request that an entry sends to backend servers directly. */
@NullMarked
package org.streamring.kernel.placement;

import org.jspecify.annotations.NullMarked;
