/** Connections to sidecars: attempts, heartbeats and queries for receipts. */
@NullMarked
package org.streamring.entry.peer;

import org.jspecify.annotations.NullMarked;
