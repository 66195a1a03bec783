package org.streamring.standin.experiment.routing;

import java.util.List;
import java.util.random.RandomGenerator;

/**
 * A kind of request in the measured mix. Sizes are those of the users' requests, scaled down to the capacity of a
 * single box.
 *
 * @param name name of the kind
 * @param accountKey key of the client account that sends the requests, which determines their priority class
 * @param share fraction of all requests
 * @param subjects number of different shared prompt prefixes
 * @param sharedTokens tokens of the shared prefix
 * @param ownTokens tokens of the unshared rest of the prompt
 * @param answerTokens tokens of the answer
 */
record RequestKind(
        String name, String accountKey, double share, int subjects, int sharedTokens, int ownTokens, int answerTokens) {

    private static final int CHARACTERS_PER_TOKEN = 4;
    private static final String BODY = """
            {"model":"assist","messages":[{"role":"system","content":"%s"},{"role":"user","content":"%s"}],\
            "max_tokens":%d,"standin_answer_tokens":%d,"stream":true}""";

    /** Returns the mix of diagnoses, questions and tags, each in its own priority class. */
    static List<RequestKind> mix() {
        return List.of(
                new RequestKind("diagnosis", "routing-urgent", 0.25, 40, 1600, 800, 40),
                new RequestKind("question", "routing-normal", 0.40, 4, 200, 200, 30),
                new RequestKind("tag", "routing-background", 0.35, 4, 200, 400, 5));
    }

    static RequestKind draw(List<RequestKind> mix, RandomGenerator random) {
        double remainingShare = random.nextDouble();
        for (RequestKind kind : mix) {
            remainingShare -= kind.share();
            if (remainingShare < 0) {
                return kind;
            }
        }
        return mix.get(mix.size() - 1);
    }

    int promptTokens() {
        return sharedTokens + ownTokens;
    }

    /** Returns a random request body; bodies of the same subject have the same prompt prefix. */
    String body(RandomGenerator random) {
        String shared = text(name + random.nextInt(subjects), sharedTokens);
        String own = text(Long.toHexString(random.nextLong()), ownTokens);
        return BODY.formatted(shared, own, answerTokens, answerTokens);
    }

    private static String text(String word, int tokens) {
        int characters = tokens * CHARACTERS_PER_TOKEN;
        return (word + " ").repeat(characters / (word.length() + 1) + 1).substring(0, characters);
    }
}
