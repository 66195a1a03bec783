package org.streamring.standin.model;

import java.util.List;

/**
 * A fleet, what it serves and what strikes it, as a scenario file tells. Times are in milliseconds or, where named so,
 * in seconds.
 *
 * @param name for the table
 * @param seconds length of a day
 * @param fleet entries
 * @param engines replicas of the model service
 * @param plain replicas of the plain service
 * @param accounts who calls
 * @param kinds kinds of requests
 * @param bursts times with more requests
 * @param faults what strikes replicas
 */
record Scenario(
        String name,
        int seconds,
        Fleet fleet,
        Engines engines,
        Plain plain,
        Accounts accounts,
        List<Kind> kinds,
        List<Burst> bursts,
        List<Fault> faults) {
    Scenario {
        kinds = List.copyOf(kinds);
        bursts = List.copyOf(bursts);
        faults = List.copyOf(faults);
        require(seconds > 0, "seconds must be above 0");
        require(!kinds.isEmpty(), "there must be a kind of request");
        for (Burst burst : bursts) {
            require(burst.account < accounts.count, "a burst names account " + burst.account + ", which is not there");
        }
    }

    private static void require(boolean holds, String problem) {
        if (!holds) {
            throw new IllegalArgumentException(problem);
        }
    }

    /**
     * Entries.
     *
     * @param entries number of entries
     * @param linkBytesPerMilli bytes in a millisecond each way; entries take these in turn
     * @param cores part of a core; entries take these in turn
     * @param requestCpuMillis core time of a request
     * @param eventCpuMillis core time of an event that is passed on
     * @param eventBytes bytes of an event on a link
     * @param hopMillis time on the way to another box
     * @param waveSwing how far demand rises and falls, in parts of its mean
     * @param wavePeriodSeconds length of a rise and fall
     */
    record Fleet(
            int entries,
            List<Double> linkBytesPerMilli,
            List<Double> cores,
            double requestCpuMillis,
            double eventCpuMillis,
            int eventBytes,
            double hopMillis,
            double waveSwing,
            double wavePeriodSeconds) {
        Fleet {
            linkBytesPerMilli = List.copyOf(linkBytesPerMilli);
            cores = List.copyOf(cores);
            require(entries > 0, "fleet.entries must be above 0");
            require(!linkBytesPerMilli.isEmpty() && !cores.isEmpty(), "fleet needs a link and cores");
            require(
                    linkBytesPerMilli.stream().allMatch(each -> each > 0),
                    "fleet.link_bytes_per_milli must be above 0");
            require(cores.stream().allMatch(each -> each > 0), "fleet.cores must be above 0");
            require(wavePeriodSeconds > 0, "fleet.wave_period_seconds must be above 0");
        }
    }

    /**
     * Replicas of the model service.
     *
     * @param count number of replicas
     * @param slots requests that one works on at once
     * @param memoryTokens tokens that its memory holds
     * @param stepMillis time of a step
     * @param stepMillisPerRun what each running request adds to it
     * @param readPerMilli prompt tokens read in a millisecond
     * @param pieceTokens prompt tokens read in one step at the most
     * @param firstMillis time before the first step of an idle engine
     * @param tokensPerEvent tokens of an event
     * @param speeds factors of time; replicas take these in turn
     * @param coldSeconds how long one stays cold after a return
     * @param coldPerSecond requests a second that it bears meanwhile; 0 for any number
     * @param coldMostInSecond requests in a second beyond which it falls over
     */
    record Engines(
            int count,
            int slots,
            long memoryTokens,
            double stepMillis,
            double stepMillisPerRun,
            double readPerMilli,
            long pieceTokens,
            double firstMillis,
            int tokensPerEvent,
            List<Double> speeds,
            double coldSeconds,
            double coldPerSecond,
            double coldMostInSecond) {
        Engines {
            speeds = List.copyOf(speeds);
            require(count > 0 && slots > 0, "engines.count and engines.slots must be above 0");
            require(readPerMilli > 0 && pieceTokens > 0, "engines must read something in a step");
            require(tokensPerEvent > 0, "engines.tokens_per_event must be above 0");
            require(!speeds.isEmpty(), "engines.speeds must not be empty");
        }
    }

    /**
     * Replicas of the plain service.
     *
     * @param count number of replicas
     * @param slots requests that one works on at once
     * @param line requests that wait at one before it refuses
     * @param workMillis mean time of a request
     * @param workSpread its spread (sigma of a lognormal distribution)
     * @param speeds factors of time; replicas take these in turn
     */
    record Plain(int count, int slots, int line, double workMillis, double workSpread, List<Double> speeds) {
        Plain {
            speeds = List.copyOf(speeds);
            require(count > 0 && slots > 0, "plain.count and plain.slots must be above 0");
            require(!speeds.isEmpty(), "plain.speeds must not be empty");
        }
    }

    /**
     * Who calls.
     *
     * @param count client accounts
     * @param skew how much larger the first ones are
     * @param callers callers of all accounts together; each keeps to one entry
     * @param stuck accounts, from this one on, all of whose callers reach one entry; the count for none
     */
    record Accounts(int count, double skew, int callers, int stuck) {
        Accounts {
            require(count > 0 && callers > 0, "accounts.count and accounts.callers must be above 0");
            require(stuck >= 0 && stuck <= count, "accounts.stuck must be from 0 to accounts.count");
        }
    }

    /**
     * A kind of request.
     *
     * @param name for the table
     * @param engine whether the model service answers it; the plain one otherwise
     * @param perSecond requests a second of all callers together
     * @param rank urgency, 0 being the most urgent
     * @param targetMillis time to the first answer that counts fully
     * @param pauseMillis longest pause between events that counts fully
     * @param deadlineMillis time after which its caller leaves
     * @param attempts replicas that one try may reach
     * @param worth of an answer in time
     * @param lateWorth of a later one
     * @param shared parts that prompts share, in order
     * @param ownTokens mean of the tokens that are a prompt's own
     * @param ownSpread their spread
     * @param answerTokens mean of the tokens of an answer
     * @param answerSpread their spread
     * @param bodyBytes bytes of the request
     */
    record Kind(
            String name,
            boolean engine,
            double perSecond,
            int rank,
            long targetMillis,
            long pauseMillis,
            long deadlineMillis,
            int attempts,
            double worth,
            double lateWorth,
            List<Shared> shared,
            double ownTokens,
            double ownSpread,
            double answerTokens,
            double answerSpread,
            int bodyBytes) {
        Kind {
            shared = List.copyOf(shared);
            require(perSecond > 0, name + ": per_second must be above 0");
            require(rank >= 0 && rank <= 9, name + ": rank must be from 0 to 9");
            require(targetMillis > 0 && deadlineMillis >= targetMillis, name + ": deadline must not be below target");
        }
    }

    /**
     * A part that prompts share.
     *
     * @param tokens mean length
     * @param things how many there are
     * @param skew how much more often the first ones come
     */
    record Shared(double tokens, int things, double skew) {
        Shared {
            require(things > 0, "a shared part needs a thing");
        }
    }

    /**
     * A time with more requests.
     *
     * @param atSeconds when it begins
     * @param forSeconds how long it lasts
     * @param factor how many times the usual
     * @param account whose; -1 for all
     */
    record Burst(double atSeconds, double forSeconds, double factor, int account) {}

    /** What a fault does to replicas of the model service. */
    enum FaultKind {
        /** They work more slowly. */
        SLOW,
        /** They are dark, and back as they were. */
        DARK,
        /** They are dark, and back cold as new incarnations. */
        COLD
    }

    /**
     * What strikes replicas of the model service.
     *
     * @param kind what it does
     * @param atSeconds when it begins
     * @param forSeconds how long it lasts
     * @param share part of the replicas
     * @param factor how many times slower
     */
    record Fault(FaultKind kind, double atSeconds, double forSeconds, double share, double factor) {
        Fault {
            require(share > 0 && share <= 1, "a fault's share must be above 0 and at most 1");
            require(factor > 0, "a fault's factor must be above 0");
        }
    }
}
