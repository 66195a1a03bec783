/** Platform interfaces for entries that send requests to backend servers directly. */
@NullMarked
package org.streamring.platform.node;

import org.jspecify.annotations.NullMarked;
