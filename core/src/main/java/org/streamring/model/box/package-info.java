/** Boxes and the backend servers on them, as the platform's box list shows them. */
@NullMarked
package org.streamring.model.box;

import org.jspecify.annotations.NullMarked;
