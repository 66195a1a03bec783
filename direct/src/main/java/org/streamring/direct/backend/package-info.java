/** Connections to backend servers, and attempts on them. */
@NullMarked
package org.streamring.direct.backend;

import org.jspecify.annotations.NullMarked;
