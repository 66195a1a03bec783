/** Finds the route, the service and the client account of a request. */
@NullMarked
package org.streamring.kernel.route;

import org.jspecify.annotations.NullMarked;
