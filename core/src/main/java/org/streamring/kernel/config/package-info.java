/** Versions of the configuration: items, changes, differences and the copy in force. */
@NullMarked
package org.streamring.kernel.config;

import org.jspecify.annotations.NullMarked;
