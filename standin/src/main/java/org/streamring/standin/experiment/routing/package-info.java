/** Comparison of routing strategies on the same engines, with the same request arrivals and faults. */
@NullMarked
package org.streamring.standin.experiment.routing;

import org.jspecify.annotations.NullMarked;
