/** Versions of the configuration: items, changes, differences and the configuration in force. */
@NullMarked
package org.streamring.kernel.config;

import org.jspecify.annotations.NullMarked;
