/** Whether a request is taken on at all. */
@NullMarked
package org.streamring.kernel.admission;

import org.jspecify.annotations.NullMarked;
