package org.streamring.kernel.prepaid;

import java.util.Random;

/** Kind of request, with its total rate per second and its token counts. */
enum RequestKind {
    LONG(46, 12_000, 0.8, 400),
    SHORT(60, 830, 0.7, 300),
    TAG(71, 2_400, 0.9, 25);

    private final double perSecond;
    private final double prompt;
    private final double spread;
    private final int answer;

    RequestKind(double perSecond, double prompt, double spread, int answer) {
        this.perSecond = perSecond;
        this.prompt = prompt;
        this.spread = spread;
        this.answer = answer;
    }

    long prompt(Random random) {
        return (long) Math.max(50, prompt * Math.exp(spread * random.nextGaussian() - spread * spread / 2));
    }

    double perSecond() {
        return perSecond;
    }

    int answer() {
        return answer;
    }

    double tokensPerSecond() {
        return perSecond * (prompt + answer);
    }
}
