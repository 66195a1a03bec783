package org.streamring.kernel.placement;

import java.util.ArrayList;
import java.util.List;

/** Prompts that this entry sent to replicas since its last report to the other entries. Confined to one thread. */
final class UnreportedPrompts {
    /** Further prompts are not reported; other entries then only have less information about replica caches. */
    private static final int MAX_PROMPTS = 64;

    /** Prompts that take at least this long delay other prompts at the same replica noticeably. */
    private static final double LONG_PROMPT_MILLIS = 100;

    private final List<SentPrompt> prompts = new ArrayList<>();
    private Runnable onLongPrompt = () -> {};

    void onLongPrompt(Runnable listener) {
        onLongPrompt = listener;
    }

    void add(String replica, Prompt prompt, double readingMillis) {
        if (readingMillis >= LONG_PROMPT_MILLIS) {
            onLongPrompt.run();
        }
        if (!prompt.shared().isEmpty() && prompts.size() < MAX_PROMPTS) {
            prompts.add(new SentPrompt(replica, prompt.shared()));
        }
    }

    List<SentPrompt> drain() {
        List<SentPrompt> drained = List.copyOf(prompts);
        prompts.clear();
        return drained;
    }
}
