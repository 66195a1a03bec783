/** Prepaid limits of client accounts: tokens are leased from rows of the platform before they are spent. */
@NullMarked
package org.streamring.kernel.prepaid;

import org.jspecify.annotations.NullMarked;
