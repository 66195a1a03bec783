/** What an entry does with one request, from its key to its final answer. */
@NullMarked
package org.streamring.entry.request;

import org.jspecify.annotations.NullMarked;
