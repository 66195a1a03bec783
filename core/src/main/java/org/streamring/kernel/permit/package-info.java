/** Enforces the rate limits that backend servers announce for all entries together, by permits shared among entries. */
@NullMarked
package org.streamring.kernel.permit;

import org.jspecify.annotations.NullMarked;
