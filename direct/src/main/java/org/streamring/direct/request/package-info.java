/** Processing of a request from its arrival to its final answer. */
@NullMarked
package org.streamring.direct.request;

import org.jspecify.annotations.NullMarked;
