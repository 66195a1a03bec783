/** What is known of the backend servers that run, leave or are gone. */
@NullMarked
package org.streamring.kernel.registry;

import org.jspecify.annotations.NullMarked;
