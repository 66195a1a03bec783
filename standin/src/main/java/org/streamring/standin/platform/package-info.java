/** Stand-in for the platform with table service, object store, box list and fault injection. */
@NullMarked
package org.streamring.standin.platform;

import org.jspecify.annotations.NullMarked;
