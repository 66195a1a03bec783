/** Stand-in for a model engine: batching, a bounded prefix cache, cancel, and a record of what it ran. */
@NullMarked
package org.streamring.standin.engine;

import org.jspecify.annotations.NullMarked;
