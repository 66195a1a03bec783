/** Counters and latency histograms of a direct entry. */
@NullMarked
package org.streamring.direct.metrics;

import org.jspecify.annotations.NullMarked;
