/** Entry process that accepts requests of callers and sends them directly to backend servers, without sidecars. */
@NullMarked
package org.streamring.direct;

import org.jspecify.annotations.NullMarked;
