/** Detects requests that crash the backend servers running them, and blocks them. */
@NullMarked
package org.streamring.kernel.suspect;

import org.jspecify.annotations.NullMarked;
