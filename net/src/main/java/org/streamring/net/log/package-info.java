/** How the programs log. */
@NullMarked
package org.streamring.net.log;

import org.jspecify.annotations.NullMarked;
