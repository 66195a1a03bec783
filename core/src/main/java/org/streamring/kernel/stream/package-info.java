/** Where streams began, so that they are continued only by servers that can continue them. */
@NullMarked
package org.streamring.kernel.stream;

import org.jspecify.annotations.NullMarked;
