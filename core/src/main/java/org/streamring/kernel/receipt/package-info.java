/**
 * Receipts of a sidecar for its attempts, which ensure that each attempt runs at most once and that its tokens are
 * counted.
 */
@NullMarked
package org.streamring.kernel.receipt;

import org.jspecify.annotations.NullMarked;
