/** What callers are told about a request. */
@NullMarked
package org.streamring.model.request;

import org.jspecify.annotations.NullMarked;
