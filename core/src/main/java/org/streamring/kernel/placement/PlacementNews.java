package org.streamring.kernel.placement;

import java.util.ArrayList;
import java.util.List;

/** Prompts that this entry sent to replicas since it last told the other entries. Confined to one thread. */
final class PlacementNews {
    /** Other entries miss older ones; they only know less of what is kept where. */
    private static final int MOST_PROMPTS = 64;

    /** Other prompts at the same replica would wait noticeably. */
    private static final double LONG_MILLIS = 100;

    private final List<PromptRead> prompts = new ArrayList<>();
    private Runnable onLongPrompt = () -> {};

    void onLongPrompt(Runnable listener) {
        onLongPrompt = listener;
    }

    void read(String replica, Prompt prompt, double readingMillis) {
        if (readingMillis >= LONG_MILLIS) {
            onLongPrompt.run();
        }
        if (!prompt.shared().isEmpty() && prompts.size() < MOST_PROMPTS) {
            prompts.add(new PromptRead(replica, prompt.shared()));
        }
    }

    List<PromptRead> take() {
        List<PromptRead> taken = List.copyOf(prompts);
        prompts.clear();
        return taken;
    }
}
