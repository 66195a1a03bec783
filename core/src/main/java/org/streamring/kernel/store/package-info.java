/** A store of versioned rows, and what is agreed or kept in it. */
@NullMarked
package org.streamring.kernel.store;

import org.jspecify.annotations.NullMarked;
