/** Keeps the entry's copy of the configuration current. */
@NullMarked
package org.streamring.entry.config;

import org.jspecify.annotations.NullMarked;
