package org.streamring.entry.request;

import org.streamring.kernel.ledger.BillItem;
import org.streamring.kernel.ledger.Reservation;
import org.streamring.net.generated.Wire.End;
import org.streamring.net.generated.Wire.Submit;

/** Creates the messages and bill items for the attempts of an admitted request. */
final class AttemptMessages {
    private AttemptMessages() {}

    /**
     * Returns the message that submits an attempt to a sidecar.
     *
     * @param sidecarIncarnation the only incarnation that may run the attempt
     * @param leftMillis time left until the request's deadline, in milliseconds
     */
    static Submit submit(AdmittedRequest request, Reservation reservation, String sidecarIncarnation, long leftMillis) {
        String entryIncarnation =
                reservation.leaseId().substring(0, reservation.leaseId().indexOf('/'));
        return Submit.newBuilder()
                .setAttempt(reservation.attempt())
                .setEntryIncarnation(entryIncarnation)
                .setSidecarIncarnation(sidecarIncarnation)
                .setRequestKey(request.requestKey())
                .setBodyHash(request.bodyHash())
                .setAccount(request.account())
                .setBudget(request.budget())
                .setLeaseId(reservation.leaseId())
                .setService(request.service())
                .setReservedTokens(reservation.tokens())
                .setRepeatable(request.repeatable())
                .setKeepAnswer(request.keyed())
                .setRank(request.rank())
                .setDeadlineMillis(leftMillis)
                .setModel(request.model())
                .setCallTokens(request.callTokens())
                .setMethod(request.call().method())
                .setPath(request.path())
                .addAllHeaders(request.call().headers())
                .setBody(request.body())
                .setStream(request.stream())
                .setShowUsage(request.showUsage())
                .build();
    }

    /**
     * Returns the bill item of an attempt that ended.
     *
     * @param backend incarnation of the sidecar that ran the attempt
     * @param epochMillis time of the bill item, in milliseconds since the epoch
     */
    static BillItem billItem(
            AdmittedRequest request, Reservation reservation, String backend, End end, long epochMillis) {
        return new BillItem(
                reservation.attempt(),
                request.requestKey(),
                request.account(),
                request.budget(),
                reservation.leaseId(),
                request.service(),
                backend,
                end.getPromptTokens(),
                end.getAnswerTokens(),
                end.getTokens(),
                epochMillis);
    }
}
