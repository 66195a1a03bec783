/** Stand-in for a plain service. */
@NullMarked
package org.streamring.standin.service;

import org.jspecify.annotations.NullMarked;
