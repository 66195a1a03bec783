/** Interface to a store of versioned rows. */
@NullMarked
package org.streamring.kernel.store;

import org.jspecify.annotations.NullMarked;
