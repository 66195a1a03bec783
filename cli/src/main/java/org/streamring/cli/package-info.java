/** The operator's command line. */
@NullMarked
package org.streamring.cli;

import org.jspecify.annotations.NullMarked;
