package org.streamring.direct.ledger;

import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

/** Other entries, as far as they witness what an entry uses beyond its marks. */
public interface Witnesses {
    /**
     * Chooses those that the next write should name.
     *
     * @param present those that are named now; they stay as long as they are connected
     * @return incarnations; those named now if nobody is connected
     */
    Set<String> choose(Set<String> present);

    /**
     * Asks witnesses to note tokens that may be used.
     *
     * @param acknowledged told the incarnation of each that noted them
     */
    void note(Set<String> witnesses, Map<String, Long> tokens, Consumer<String> acknowledged);

    /** Whether another process has taken the place of a witness, so that it will never answer. */
    boolean gone(String witness);

    /**
     * Asks a witness what a dead incarnation noted there. A lost answer is asked for again by the next call.
     *
     * @param answered told the witness and the tokens by account
     */
    void ask(String witness, String incarnation, BiConsumer<String, Map<String, Long>> answered);
}
