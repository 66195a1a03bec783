/** What the entry learns from the store: configuration, backend servers, other entries. */
@NullMarked
package org.streamring.direct.feed;

import org.jspecify.annotations.NullMarked;
