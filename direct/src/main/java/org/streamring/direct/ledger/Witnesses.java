package org.streamring.direct.ledger;

import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

/** Other entries as witnesses. They record the tokens that this entry uses above its usage caps. */
public interface Witnesses {
    /**
     * Chooses the witnesses for the next write.
     *
     * @param present incarnations of the current witnesses, which are kept while they are connected
     * @return incarnations of the chosen witnesses; the current ones if no entry is connected
     */
    Set<String> choose(Set<String> present);

    /**
     * Asks witnesses to record tokens that this entry may use.
     *
     * @param acknowledged receives the incarnation of each witness that recorded the tokens
     */
    void note(Set<String> witnesses, Map<String, Long> tokens, Consumer<String> acknowledged);

    /** Returns whether another process has replaced a witness, so that the witness will never answer. */
    boolean gone(String witness);

    /**
     * Queries a witness for the usage records of a dead incarnation. If the answer is lost, the next call queries
     * again.
     *
     * @param answered receives the witness and the recorded tokens by account
     */
    void ask(String witness, String incarnation, BiConsumer<String, Map<String, Long>> answered);
}
