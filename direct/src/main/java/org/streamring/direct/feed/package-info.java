/** Readers of the store tables: configuration, backend servers, evacuations and the other entries. */
@NullMarked
package org.streamring.direct.feed;

import org.jspecify.annotations.NullMarked;
