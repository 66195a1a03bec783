/** Common parts of all programs: worker pools, health and metrics endpoints, graceful stop, incarnations. */
@NullMarked
package org.streamring.net.process;

import org.jspecify.annotations.NullMarked;
