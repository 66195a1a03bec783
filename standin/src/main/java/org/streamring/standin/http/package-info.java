/** Small HTTP server shared by the stand-ins. */
@NullMarked
package org.streamring.standin.http;

import org.jspecify.annotations.NullMarked;
