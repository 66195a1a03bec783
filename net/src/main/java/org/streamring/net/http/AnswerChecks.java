package org.streamring.net.http;

import io.netty.channel.Channel;
import java.util.List;
import java.util.function.Consumer;
import org.asynchttpclient.netty.channel.ChannelManager;

/** Checks for the connections of an AsyncHttpClient, which would pass on answers that were read from two. */
public final class AnswerChecks {
    private AnswerChecks() {}

    /**
     * Returns what adds the checks to a new connection.
     *
     * @param singleHeaders names of headers that an answer has at most once, beside those of HTTP
     */
    public static Consumer<Channel> withSingleHeaders(List<String> singleHeaders) {
        MergedHeadCheck headCheck = new MergedHeadCheck(singleHeaders);
        return created ->
                created.pipeline().addAfter(ChannelManager.HTTP_CLIENT_CODEC, null, new MergedHeadHandler(headCheck));
    }
}
