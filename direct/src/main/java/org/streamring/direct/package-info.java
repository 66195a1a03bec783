/** The program that serves callers and sends their requests to backend servers directly, without sidecars. */
@NullMarked
package org.streamring.direct;

import org.jspecify.annotations.NullMarked;
