package org.streamring.standin.http;

/**
 * A time for which a stand-in neither reads nor writes; it continues afterwards.
 *
 * @param millis length in milliseconds
 */
record Silence(long millis) {}
