/** Exchange between entries of the requests that were running on backend servers whose processes ended. */
@NullMarked
package org.streamring.direct.suspect;

import org.jspecify.annotations.NullMarked;
