/** What every program does alike: worker pools, health and metrics pages, ordered stop, incarnations. */
@NullMarked
package org.streamring.net.process;

import org.jspecify.annotations.NullMarked;
