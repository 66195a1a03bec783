package org.streamring.standin.model;

import java.util.List;

/**
 * A simulated fleet with its load and its faults, as read from a scenario file. Times are in milliseconds, or in
 * seconds where the name says so.
 *
 * @param name name of the scenario, printed with the results
 * @param seconds length of a simulation run in seconds
 * @param fleet entries
 * @param engines replicas of the model service
 * @param plain replicas of the plain service
 * @param accounts client accounts and their callers
 * @param kinds kinds of requests
 * @param bursts periods with a higher request rate
 * @param faults faults of replicas of the model service
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
        require(!kinds.isEmpty(), "kinds must not be empty");
        for (Burst burst : bursts) {
            require(
                    burst.account < accounts.count,
                    "a burst names account " + burst.account + ", which does not exist");
        }
    }

    private static void require(boolean holds, String problem) {
        if (!holds) {
            throw new IllegalArgumentException(problem);
        }
    }

    /**
     * Entries, their links and processors, and the variation of the load over time.
     *
     * @param entries number of entries
     * @param linkBytesPerMilli link bandwidth in bytes per millisecond and direction, assigned to the
     *     entries cyclically
     * @param cores processor cores of an entry (may be a fraction), assigned to the entries cyclically
     * @param requestCpuMillis core time for a request
     * @param eventCpuMillis core time for forwarding an event
     * @param eventBytes size of an event on a link
     * @param hopMillis one-way latency to another box
     * @param waveSwing amplitude of the periodic demand variation, as a fraction of the mean
     * @param wavePeriodSeconds period of the demand variation in seconds
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
            require(
                    !linkBytesPerMilli.isEmpty() && !cores.isEmpty(),
                    "fleet.link_bytes_per_milli and fleet.cores must not be empty");
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
     * @param slots requests that a replica processes concurrently
     * @param memoryTokens tokens that fit into the memory of a replica
     * @param stepMillis base duration of a step
     * @param stepMillisPerRun additional duration of a step for each running request
     * @param readPerMilli prompt tokens read per millisecond
     * @param pieceTokens maximum number of prompt tokens read in one step
     * @param firstMillis delay before the first step of an idle engine
     * @param tokensPerEvent answer tokens per event
     * @param speeds duration factors (2 is half as fast), assigned to the replicas cyclically
     * @param coldSeconds how long a replica stays cold after a restart
     * @param coldPerSecond requests per second that entries may send to a cold replica; 0 for no limit
     * @param coldMostInSecond maximum number of requests in one second; a cold replica that gets more becomes
     *     unreachable
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
            require(
                    readPerMilli > 0 && pieceTokens > 0,
                    "engines.read_per_milli and engines.piece_tokens must be above 0");
            require(tokensPerEvent > 0, "engines.tokens_per_event must be above 0");
            require(!speeds.isEmpty(), "engines.speeds must not be empty");
        }
    }

    /**
     * Replicas of the plain service.
     *
     * @param count number of replicas
     * @param slots requests that a replica processes concurrently
     * @param line maximum number of requests queued at a replica; it refuses further ones
     * @param workMillis mean processing time of a request
     * @param workSpread spread of the processing time (sigma of a lognormal distribution)
     * @param speeds duration factors (2 is half as fast), assigned to the replicas cyclically
     */
    record Plain(int count, int slots, int line, double workMillis, double workSpread, List<Double> speeds) {
        Plain {
            speeds = List.copyOf(speeds);
            require(count > 0 && slots > 0, "plain.count and plain.slots must be above 0");
            require(!speeds.isEmpty(), "plain.speeds must not be empty");
        }
    }

    /**
     * Client accounts and their callers.
     *
     * @param count number of client accounts
     * @param skew exponent of the Zipf distribution of the load over the accounts; the first accounts get the most
     * @param callers total number of callers of all accounts; each caller sends its first tries to one entry
     * @param stuck index of the first account whose callers all use the same entry; equal to {@code count} if there is
     *     no such account
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
     * @param name name of the kind, printed with the results
     * @param engine true for requests to the model service, false for requests to the plain service
     * @param perSecond mean request rate of all callers together
     * @param rank urgency from 0 (most urgent) to 9
     * @param targetMillis maximum time to the first event of an answer in time
     * @param pauseMillis maximum pause between two events of an answer in time
     * @param deadlineMillis time after which the caller gives up
     * @param attempts maximum number of replicas that an entry sends the request to
     * @param worth value of an answer in time
     * @param lateWorth value of a late answer
     * @param shared prompt parts shared with other requests, in the order of the prompt
     * @param ownTokens mean length of the unshared part of the prompt in tokens
     * @param ownSpread spread of that length (sigma of a lognormal distribution)
     * @param answerTokens mean length of the answer in tokens
     * @param answerSpread spread of that length (sigma of a lognormal distribution)
     * @param bodyBytes size of the request body
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
     * A prompt part that occurs in several prompts, such as a system prompt.
     *
     * @param tokens length in tokens
     * @param things number of different variants of the part
     * @param skew exponent of the Zipf distribution of the variants; the first variants are the most frequent
     */
    record Shared(double tokens, int things, double skew) {
        Shared {
            require(things > 0, "things of a shared part must be above 0");
        }
    }

    /**
     * A period with a higher request rate.
     *
     * @param atSeconds start of the period
     * @param forSeconds duration of the period
     * @param factor factor by which the request rate is multiplied
     * @param account index of the affected account; -1 for all accounts
     */
    record Burst(double atSeconds, double forSeconds, double factor, int account) {}

    /** Effect of a fault on replicas of the model service. */
    enum FaultKind {
        /** The replicas work more slowly. */
        SLOW,
        /** The replicas are unreachable for a while and keep their state. */
        DARK,
        /** The replicas are unreachable for a while and restart as cold new incarnations. */
        COLD
    }

    /**
     * A fault of replicas of the model service.
     *
     * @param kind effect on the replicas
     * @param atSeconds start of the fault
     * @param forSeconds duration of the fault
     * @param share fraction of the replicas that are affected
     * @param factor factor by which durations are multiplied; used by {@link FaultKind#SLOW} only
     */
    record Fault(FaultKind kind, double atSeconds, double forSeconds, double share, double factor) {
        Fault {
            require(share > 0 && share <= 1, "a fault's share must be above 0 and at most 1");
            require(factor > 0, "a fault's factor must be above 0");
        }
    }
}
