/** HTTP connections of callers. */
@NullMarked
package org.streamring.direct.caller;

import org.jspecify.annotations.NullMarked;
