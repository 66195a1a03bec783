/** What a sidecar remembers of every attempt it was given, so that each runs once and each is counted. */
@NullMarked
package org.streamring.kernel.receipt;

import org.jspecify.annotations.NullMarked;
