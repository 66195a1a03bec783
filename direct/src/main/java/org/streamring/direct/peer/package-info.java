/** Connections between entries and the frames that are sent over them. */
@NullMarked
package org.streamring.direct.peer;

import org.jspecify.annotations.NullMarked;
