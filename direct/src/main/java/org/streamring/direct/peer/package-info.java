/** Frames between entries. */
@NullMarked
package org.streamring.direct.peer;

import org.jspecify.annotations.NullMarked;
