/** Tells the other entries of requests under which servers ended, through rows of the store. */
@NullMarked
package org.streamring.direct.suspect;

import org.jspecify.annotations.NullMarked;
