/** Settings in TOML, described once and checked whole. */
@NullMarked
package org.streamring.net.settings;

import org.jspecify.annotations.NullMarked;
