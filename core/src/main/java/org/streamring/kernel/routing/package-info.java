/** Which backend servers an entry knows, how they fare, and which one gets a request. */
@NullMarked
package org.streamring.kernel.routing;

import org.jspecify.annotations.NullMarked;
