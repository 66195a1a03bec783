/**
 * Routing: the subset of backend servers of an entry, their load and failures, and the choice of one for each request.
 */
@NullMarked
package org.streamring.kernel.routing;

import org.jspecify.annotations.NullMarked;
