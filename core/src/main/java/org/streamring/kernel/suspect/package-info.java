/** Knows requests again that crash the backend servers which run them, and decides when they are no longer sent. */
@NullMarked
package org.streamring.kernel.suspect;

import org.jspecify.annotations.NullMarked;
