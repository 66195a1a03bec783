package org.streamring.direct.backend;

/** Ignores the defects of answers. */
public final class NoDefects implements AnswerDefectListener {
    @Override
    public void onMergedHead(String request, String detail) {}

    @Override
    public void onStrayBytes(StrayBytes stray) {}
}
