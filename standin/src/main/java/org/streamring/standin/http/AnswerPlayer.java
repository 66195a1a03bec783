package org.streamring.standin.http;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** Plays the scripts of damaged answers on the connections of a server that has a thread for each. */
public final class AnswerPlayer {
    private final long silenceMillis;
    private final Exit exit;

    /** Ends the process of the server, or what stands for it. */
    public interface Exit {
        /** Closes the listening socket, so that its port refuses connections, and all open connections. */
        void run() throws IOException;
    }

    /**
     * Creates a player.
     *
     * @param silenceMillis for how long it stays silent before it resets the connection
     * @param exit called by scripts that end the process
     */
    public AnswerPlayer(long silenceMillis, Exit exit) {
        this.silenceMillis = silenceMillis;
        this.exit = exit;
    }

    /** Plays a script; returns whether the connection is open for the next request, otherwise it has to be closed. */
    public boolean play(DamagedAnswer script, Socket socket, OutputStream out)
            throws IOException, InterruptedException {
        socket.setTcpNoDelay(true);
        for (AnswerStep step : script.steps()) {
            if (step instanceof AnswerStep.Write write) {
                out.write(write.text().getBytes(StandardCharsets.US_ASCII));
                out.flush();
            } else if (step instanceof AnswerStep.Pause pause) {
                Thread.sleep(pause.millis());
            }
        }
        return end(script.end(), socket);
    }

    private boolean end(AnswerEnd end, Socket socket) throws IOException, InterruptedException {
        switch (end) {
            case NEXT_REQUEST -> {
                return true;
            }
            case RESET -> socket.setSoLinger(true, 0);
            case SILENCE -> {
                Thread.sleep(silenceMillis);
                socket.setSoLinger(true, 0);
            }
            case EXIT -> exit.run();
            default -> {}
        }
        return false;
    }
}
