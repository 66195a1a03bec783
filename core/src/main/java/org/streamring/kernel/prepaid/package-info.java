/** Prepaid limits of client accounts: tokens are leased from the platform's rows before they are spent. */
@NullMarked
package org.streamring.kernel.prepaid;

import org.jspecify.annotations.NullMarked;
