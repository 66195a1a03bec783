/** Stand-in for a model engine with batching, a bounded prefix cache, cancellation and a record of all runs. */
@NullMarked
package org.streamring.standin.engine;

import org.jspecify.annotations.NullMarked;
