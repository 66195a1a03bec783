/** Connections to backend servers and the attempts that are sent on them. */
@NullMarked
package org.streamring.direct.backend;

import org.jspecify.annotations.NullMarked;
