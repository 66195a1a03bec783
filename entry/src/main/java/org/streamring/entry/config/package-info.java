/** Keeps the entry's copy of the configuration up to date. */
@NullMarked
package org.streamring.entry.config;

import org.jspecify.annotations.NullMarked;
