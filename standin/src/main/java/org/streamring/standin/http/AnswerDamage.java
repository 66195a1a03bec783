package org.streamring.standin.http;

/** What is wrong with an answer. */
public enum AnswerDamage {
    /** It breaks off at any byte. */
    BREAKS_OFF,
    /** It breaks off at any byte, and a second answer or a part of one follows on the connection. */
    SECOND_AFTER_PART,
    /** A second answer or a part of one follows the whole first one on the connection. */
    SECOND_AFTER_WHOLE
}
