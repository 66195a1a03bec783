package org.streamring.direct.ledger;

import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

/** Stands for a fleet in which no other entry is connected. */
final class NoWitnesses implements Witnesses {
    @Override
    public Set<String> choose(Set<String> present) {
        return Set.of();
    }

    @Override
    public void note(Set<String> witnesses, Map<String, Long> tokens, Consumer<String> acknowledged) {
        throw new IllegalStateException("no witness is connected");
    }

    @Override
    public boolean gone(String witness) {
        return true;
    }

    @Override
    public void ask(String witness, String incarnation, BiConsumer<String, Map<String, Long>> answered) {
        throw new IllegalStateException("no witness is connected");
    }
}
