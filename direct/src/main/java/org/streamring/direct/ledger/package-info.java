/** Leases of prepaid tokens, which are kept in the store, and loans of tokens between entries. */
@NullMarked
package org.streamring.direct.ledger;

import org.jspecify.annotations.NullMarked;
