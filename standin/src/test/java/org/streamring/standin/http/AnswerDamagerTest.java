package org.streamring.standin.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.testng.annotations.Test;

public class AnswerDamagerTest {
    private static final int SEEDS = 2_000;
    private static final AnswerContent STREAM =
            new AnswerContent(200, Optional.of("r-1"), "sealed-1", "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", true);
    private static final AnswerContent PLAIN = new AnswerContent(500, Optional.of("r-1"), "sealed-2", "no", false);

    @Test
    public void aSeedThatFailedOnceMakesTheSameScriptAgain() {
        for (long seed = 0; seed < SEEDS; seed++) {
            assertThat(script(seed)).isEqualTo(script(seed));
        }
    }

    @Test
    public void noKindOfDamageIsLeftOut() {
        Set<AnswerEnd> ends = EnumSet.noneOf(AnswerEnd.class);
        Set<Evidence> evidence = EnumSet.noneOf(Evidence.class);
        for (long seed = 0; seed < SEEDS; seed++) {
            DamagedAnswer script = script(seed);
            ends.add(script.end());
            evidence.add(script.evidence());
        }
        assertThat(ends).containsExactlyInAnyOrder(AnswerEnd.values());
        assertThat(evidence).contains(Evidence.HTTP, Evidence.EVENT, Evidence.BODY, Evidence.PROCESS, Evidence.TRAILER);
        assertThat(plainEvidence()).contains(Evidence.NONE);
    }

    private static Set<Evidence> plainEvidence() {
        Set<Evidence> evidence = EnumSet.noneOf(Evidence.class);
        for (long seed = 0; seed < SEEDS; seed++) {
            evidence.add(
                    new AnswerDamager("id", "seal", seed).damage(PLAIN, STREAM).evidence());
        }
        return evidence;
    }

    @Test
    public void aWholeAnswerIsReadAsItsContent() {
        for (long seed = 0; seed < SEEDS; seed++) {
            WholeAnswer whole = new AnswerComposer("id", "seal", new Random(seed)).compose(STREAM);
            assertThat(read(whole)).as(whole.text()).containsExactly(STREAM);
        }
    }

    private static DamagedAnswer script(long seed) {
        return new AnswerDamager("id", "seal", seed).damage(STREAM, PLAIN);
    }

    private static List<AnswerContent> read(WholeAnswer whole) {
        EmbeddedChannel channel = new EmbeddedChannel(new HttpResponseDecoder(), new HttpObjectAggregator(10_000));
        channel.writeInbound(Unpooled.copiedBuffer(whole.text(), StandardCharsets.US_ASCII));
        channel.finish();
        List<AnswerContent> answers = new ArrayList<>();
        for (FullHttpResponse next = channel.readInbound(); next != null; next = channel.readInbound()) {
            if (next.status().code() >= 200) {
                answers.add(new AnswerContent(
                        next.status().code(),
                        Optional.ofNullable(next.headers().get("id")),
                        next.headers().get("seal"),
                        next.content().toString(StandardCharsets.US_ASCII),
                        next.headers().contains("Content-Type", "text/event-stream", true)));
            }
            next.release();
        }
        return answers;
    }
}
