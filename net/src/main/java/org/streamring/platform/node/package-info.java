/** What a platform must give an entry that sends requests to backend servers directly. */
@NullMarked
package org.streamring.platform.node;

import org.jspecify.annotations.NullMarked;
