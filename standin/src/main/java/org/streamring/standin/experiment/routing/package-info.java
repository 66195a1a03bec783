/** Measures how requests are routed: strategies in turn, over the same engines, under the same arrivals and faults. */
@NullMarked
package org.streamring.standin.experiment.routing;

import org.jspecify.annotations.NullMarked;
