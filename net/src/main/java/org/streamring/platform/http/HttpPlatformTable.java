package org.streamring.platform.http;

import java.util.List;
import org.streamring.kernel.table.PlatformException;
import org.streamring.kernel.table.PlatformTable;
import org.streamring.kernel.table.Row;
import org.streamring.kernel.table.Transaction;
import org.streamring.kernel.table.TransactionResult;
import org.streamring.platform.http.TableMessages.ReadCall;
import org.streamring.platform.http.TableMessages.RowsAnswer;
import org.streamring.platform.http.TableMessages.ScanCall;
import org.streamring.platform.http.TableMessages.TransactAnswer;
import org.streamring.platform.http.TableMessages.TransactCall;

/** Table service client over HTTP. */
final class HttpPlatformTable implements PlatformTable {
    private final PlatformHttpClient client;

    HttpPlatformTable(PlatformHttpClient client) {
        this.client = client;
    }

    @Override
    public TransactionResult transact(Transaction transaction) throws PlatformException {
        return client.post("transact", "/v1/table/transact", TransactCall.of(transaction), TransactAnswer.class)
                .toResult();
    }

    @Override
    public List<Row> read(List<String> keys) throws PlatformException {
        return client.post("read", "/v1/table/read", new ReadCall(keys), RowsAnswer.class)
                .rows();
    }

    @Override
    public List<Row> scan(String prefix, String after, int limit) throws PlatformException {
        return client.post("scan", "/v1/table/scan", new ScanCall(prefix, after, limit), RowsAnswer.class)
                .rows();
    }
}
