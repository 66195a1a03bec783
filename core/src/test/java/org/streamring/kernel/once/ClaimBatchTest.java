package org.streamring.kernel.once;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import org.streamring.kernel.table.InMemoryTable;
import org.streamring.kernel.table.Transaction;
import org.testng.annotations.Test;

public class ClaimBatchTest {
    private final InMemoryTable table = new InMemoryTable();

    private static Claim claim(String request, String sidecar, String nonce, long version) {
        return new Claim("account/" + request, version, new ClaimRecord(sidecar, sidecar + "~1", "hash", nonce), 0);
    }

    private ClaimBatch commit(String id, Claim... claims) {
        ClaimBatch batch = new ClaimBatch(id, List.of(claims));
        for (Optional<Transaction> next = batch.next(); next.isPresent(); next = batch.next()) {
            batch.resolve(table.transact(next.get()));
        }
        return batch;
    }

    @Test
    public void aSecondClaimOnARequestGetsTheRowOfTheFirst() {
        commit("b1", claim("r", "s1", "n1", 0));
        Claim late = claim("r", "s2", "n2", 0);
        ClaimResult result = commit("b2", late).result(late).orElseThrow();
        assertThat(result).isInstanceOf(ClaimResult.Bound.class);
        assertThat(((ClaimResult.Bound) result).record().sidecar()).isEqualTo("s1");
    }

    @Test
    public void anAlreadyBoundRequestDoesNotFailTheOtherClaimsOfItsBatch() {
        commit("b1", claim("r1", "s1", "n1", 0));
        Claim bound = claim("r1", "s2", "n2", 0);
        Claim free = claim("r2", "s2", "n3", 0);
        ClaimBatch batch = commit("b2", bound, free);
        assertThat(batch.result(bound)).containsInstanceOf(ClaimResult.Bound.class);
        assertThat(batch.result(free)).containsInstanceOf(ClaimResult.Granted.class);
    }

    @Test
    public void aClaimIsGrantedIfItsRowWasWrittenButTheAnswerWasLost() {
        Claim claim = claim("r", "s1", "n1", 0);
        commit("b1", claim);
        assertThat(commit("b1", claim).result(claim)).containsInstanceOf(ClaimResult.Granted.class);
    }

    @Test
    public void onlyOneOfTwoConcurrentClaimsMovesARequestToAnotherSidecar() {
        Claim first = claim("r", "s1", "n1", 0);
        ClaimResult.Granted granted =
                (ClaimResult.Granted) commit("b1", first).result(first).orElseThrow();
        Claim move = claim("r", "s2", "n2", granted.row().version());
        Claim rival = claim("r", "s3", "n3", granted.row().version());
        assertThat(commit("b2", move).result(move)).containsInstanceOf(ClaimResult.Granted.class);
        assertThat(commit("b3", rival).result(rival)).containsInstanceOf(ClaimResult.Bound.class);
    }
}
