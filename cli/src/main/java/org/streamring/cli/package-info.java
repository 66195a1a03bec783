/** The command-line program for operators of a fleet. */
@NullMarked
package org.streamring.cli;

import org.jspecify.annotations.NullMarked;
