/** Boxes and their backend servers, as listed by the platform. */
@NullMarked
package org.streamring.model.box;

import org.jspecify.annotations.NullMarked;
