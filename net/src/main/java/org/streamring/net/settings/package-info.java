/** Reading and validation of settings and declarations in TOML files. */
@NullMarked
package org.streamring.net.settings;

import org.jspecify.annotations.NullMarked;
