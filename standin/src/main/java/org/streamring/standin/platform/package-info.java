/** Stand-in for the platform: table service, object store and box list, with fault switches. */
@NullMarked
package org.streamring.standin.platform;

import org.jspecify.annotations.NullMarked;
