package org.streamring.standin.http;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/**
 * Makes scripts by which a server damages its answers. All choices follow from the seed.
 *
 * <p>An answer without length and chunks that is closed is whole for each reader, wherever it breaks off behind its
 * head; a second answer of which only a part fits into the rest of a body leaves no status line in it. Scripts name
 * these by their {@link Evidence}.
 */
public final class AnswerDamager {
    private static final int MAX_LATE_MILLIS = 400;
    private static final int MAX_EARLY_MILLIS = 20;
    private static final String EVENT_END = "\n\n";
    private static final List<AnswerEnd> ENDS_OF_PARTS =
            List.of(AnswerEnd.CLOSE, AnswerEnd.RESET, AnswerEnd.SILENCE, AnswerEnd.EXIT);
    private static final List<AnswerEnd> ENDS_OF_SECONDS =
            List.of(AnswerEnd.NEXT_REQUEST, AnswerEnd.NEXT_REQUEST, AnswerEnd.CLOSE, AnswerEnd.RESET);

    private final AnswerComposer composer;
    private final Random random;

    /**
     * Creates a generator.
     *
     * @param idHeader name of the header that carries the identifier of the request
     * @param signatureHeader name of the header that carries the signature
     */
    public AnswerDamager(String idHeader, String signatureHeader, long seed) {
        random = new Random(seed);
        composer = new AnswerComposer(idHeader, signatureHeader, random);
    }

    /** Makes a script with any damage. */
    public DamagedAnswer damage(AnswerContent first, AnswerContent second) {
        AnswerDamage[] all = AnswerDamage.values();
        return damage(all[random.nextInt(all.length)], first, second);
    }

    /**
     * Makes a script with this damage.
     *
     * @param first the answer to the request
     * @param second a further answer to the same request, which may be written without its identifier
     */
    public DamagedAnswer damage(AnswerDamage damage, AnswerContent first, AnswerContent second) {
        WholeAnswer whole = composer.compose(first);
        return switch (damage) {
            case BREAKS_OFF -> breakOff(whole, anyCut(whole), any(ENDS_OF_PARTS));
            case SECOND_AFTER_PART -> second(whole, anyCut(whole), second);
            case SECOND_AFTER_WHOLE -> second(whole, whole.text().length(), second);
        };
    }

    /** Writes a whole answer in two parts, cut at this byte, and ends it properly. */
    public static DamagedAnswer split(WholeAnswer whole, int cut, long pauseMillis) {
        AnswerEnd end = whole.framing() == AnswerFraming.CONNECTION ? AnswerEnd.CLOSE : AnswerEnd.NEXT_REQUEST;
        List<AnswerStep> steps = List.of(
                new AnswerStep.Write(whole.text().substring(0, cut)),
                new AnswerStep.Pause(pauseMillis),
                new AnswerStep.Write(whole.text().substring(cut)),
                new AnswerStep.End(end));
        return new DamagedAnswer(steps, List.of(whole.content()), Evidence.HTTP, "splits " + place(whole, cut));
    }

    /** Returns a whole answer, written by any of the choices of the composer. */
    public WholeAnswer compose(AnswerContent content) {
        return composer.compose(content);
    }

    private DamagedAnswer breakOff(WholeAnswer whole, int cut, AnswerEnd end) {
        List<AnswerStep> steps = new ArrayList<>(parts(whole.text().substring(0, cut)));
        steps.add(new AnswerStep.End(end));
        List<AnswerContent> written = cut == whole.text().length() ? List.of(whole.content()) : List.of();
        return new DamagedAnswer(
                steps, written, evidenceOfEnd(whole, cut, end), "stops " + place(whole, cut) + " and " + end);
    }

    private DamagedAnswer second(WholeAnswer whole, int cut, AnswerContent secondContent) {
        boolean identified = random.nextInt(3) > 0;
        WholeAnswer second = composer.compose(identified ? secondContent : secondContent.withoutId());
        int secondCut = random.nextInt(3) > 0
                ? second.text().length()
                : 1 + random.nextInt(second.text().length());
        boolean secondWhole = secondCut == second.text().length();
        long late = random.nextInt(random.nextBoolean() ? MAX_EARLY_MILLIS : MAX_LATE_MILLIS);
        AnswerEnd end =
                secondWhole && second.framing() == AnswerFraming.CONNECTION ? AnswerEnd.CLOSE : any(ENDS_OF_SECONDS);
        List<AnswerStep> steps = new ArrayList<>(parts(whole.text().substring(0, cut)));
        steps.add(new AnswerStep.Pause(late));
        steps.addAll(parts(second.text().substring(0, secondCut)));
        steps.add(new AnswerStep.End(end));
        boolean firstWhole = cut == whole.text().length();
        List<AnswerContent> written = new ArrayList<>();
        if (firstWhole) {
            written.add(whole.content());
        }
        boolean onlyAnswer = !firstWhole && startsAnew(whole, cut);
        if (secondWhole && startsAnew(whole, cut) && (identified || onlyAnswer)) {
            written.add(second.content());
        }
        String description = (firstWhole ? "ends " : "stops ") + place(whole, cut) + "; " + late + " ms later writes "
                + (secondWhole ? "all" : secondCut + " bytes") + " of a second answer, " + kind(second)
                + (identified ? "" : " without an identifier") + ", and " + end;
        Evidence evidence = onlyAnswer
                ? evidenceOfEnd(second, secondCut, end)
                : evidenceOfSecond(whole, cut, second, secondCut, end);
        return new DamagedAnswer(steps, written, evidence, description);
    }

    /** Whether an answer that follows is read from its first byte. */
    private static boolean startsAnew(WholeAnswer whole, int cut) {
        return cut == whole.text().length() || cut == 0 || cut == whole.headStart();
    }

    private static Evidence evidenceOfEnd(WholeAnswer whole, int cut, AnswerEnd end) {
        if (whole.framing() != AnswerFraming.CONNECTION || cut < whole.bodyStart()) {
            return Evidence.HTTP;
        }
        return switch (end) {
            case CLOSE -> endsInsideEvent(whole, cut) ? Evidence.EVENT : Evidence.NONE;
            case EXIT -> Evidence.PROCESS;
            default -> Evidence.HTTP;
        };
    }

    private static boolean endsInsideEvent(WholeAnswer whole, int cut) {
        String body = whole.text().substring(whole.bodyStart(), cut);
        return whole.content().events() && !body.endsWith(EVENT_END);
    }

    private static Evidence evidenceOfSecond(
            WholeAnswer whole, int cut, WholeAnswer second, int secondCut, AnswerEnd end) {
        boolean wholeBefore = cut == whole.text().length() && whole.framing() != AnswerFraming.CONNECTION;
        boolean chunked = whole.framing() == AnswerFraming.CHUNKS;
        if (wholeBefore || cut < whole.bodyStart()) {
            return Evidence.HTTP;
        }
        if (chunked && cut > whole.trailerStart()) {
            return Evidence.TRAILER;
        }
        int room = whole.framing() == AnswerFraming.LENGTH ? whole.text().length() - cut : Integer.MAX_VALUE;
        boolean fills = whole.framing() == AnswerFraming.LENGTH ? secondCut >= room : end != AnswerEnd.RESET;
        boolean passedOnAtOnce = whole.content().events();
        if (!fills && !chunked && !passedOnAtOnce) {
            return Evidence.HTTP;
        }
        return Math.min(room, secondCut) >= second.firstLineEnd() ? Evidence.BODY : evidenceOfPartOfLine(whole);
    }

    /** A part of a status line is no size of a chunk, and does not end an event. */
    private static Evidence evidenceOfPartOfLine(WholeAnswer whole) {
        if (whole.framing() == AnswerFraming.CHUNKS) {
            return Evidence.HTTP;
        }
        return whole.content().events() ? Evidence.EVENT : Evidence.NONE;
    }

    /** Returns a place in the interim heads, the head or behind it; heads are chosen as often as longer bodies. */
    private int anyCut(WholeAnswer whole) {
        int length = whole.text().length();
        return random.nextBoolean()
                ? random.nextInt(whole.bodyStart())
                : whole.bodyStart() + random.nextInt(Math.max(1, length - whole.bodyStart()));
    }

    private List<AnswerStep> parts(String text) {
        if (text.length() < 2 || random.nextBoolean()) {
            return List.of(new AnswerStep.Write(text));
        }
        int middle = 1 + random.nextInt(text.length() - 1);
        return List.of(
                new AnswerStep.Write(text.substring(0, middle)),
                new AnswerStep.Pause(random.nextInt(3)),
                new AnswerStep.Write(text.substring(middle)));
    }

    private static String place(WholeAnswer whole, int cut) {
        return "at byte " + cut + " of " + whole.text().length() + " (" + whole.partAt(cut) + ") of " + kind(whole);
    }

    private static String kind(WholeAnswer whole) {
        return whole.content().status() + " framed by " + whole.framing();
    }

    private <T> T any(List<T> choices) {
        return choices.get(random.nextInt(choices.size()));
    }
}
