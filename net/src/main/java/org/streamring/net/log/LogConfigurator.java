package org.streamring.net.log;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.encoder.JsonEncoder;
import ch.qos.logback.classic.spi.Configurator;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.ConsoleAppender;
import ch.qos.logback.core.encoder.Encoder;
import ch.qos.logback.core.encoder.LayoutWrappingEncoder;
import ch.qos.logback.core.spi.ContextAwareBase;

/**
 * Configures Logback in code, since reading a configuration file takes a third of the start-up time of an entry.
 *
 * <p>Events are written to standard error, as text or, with {@code -Dstreamring.log=json}, as JSON. The system property
 * {@code streamring.log.level} sets the level. A file set by {@code logback.configurationFile} takes precedence.
 */
public final class LogConfigurator extends ContextAwareBase implements Configurator {
    private static final String FORMAT_PROPERTY = "streamring.log";
    private static final String LEVEL_PROPERTY = "streamring.log.level";
    private static final String CONFIGURATION_FILE_PROPERTY = "logback.configurationFile";
    private static final String STANDARD_ERROR = "System.err";

    @Override
    public ExecutionStatus configure(LoggerContext loggers) {
        if (System.getProperty(CONFIGURATION_FILE_PROPERTY) != null) {
            return ExecutionStatus.INVOKE_NEXT_IF_ANY;
        }
        Logger root = loggers.getLogger(Logger.ROOT_LOGGER_NAME);
        root.setLevel(Level.toLevel(System.getProperty(LEVEL_PROPERTY), Level.INFO));
        root.addAppender(console(loggers));
        loggers.getLogger("io.netty").setLevel(Level.WARN);
        loggers.getLogger("org.asynchttpclient").setLevel(Level.WARN);
        return ExecutionStatus.DO_NOT_INVOKE_NEXT_IF_ANY;
    }

    private static ConsoleAppender<ILoggingEvent> console(LoggerContext loggers) {
        ConsoleAppender<ILoggingEvent> console = new ConsoleAppender<>();
        console.setContext(loggers);
        console.setTarget(STANDARD_ERROR);
        console.setEncoder(encoder(loggers));
        console.start();
        return console;
    }

    private static Encoder<ILoggingEvent> encoder(LoggerContext loggers) {
        Encoder<ILoggingEvent> encoder =
                "json".equals(System.getProperty(FORMAT_PROPERTY)) ? jsonEncoder() : textEncoder(loggers);
        encoder.setContext(loggers);
        encoder.start();
        return encoder;
    }

    private static Encoder<ILoggingEvent> jsonEncoder() {
        JsonEncoder encoder = new JsonEncoder();
        encoder.setWithFormattedMessage(true);
        return encoder;
    }

    private static Encoder<ILoggingEvent> textEncoder(LoggerContext loggers) {
        TextLayout layout = new TextLayout();
        layout.setContext(loggers);
        layout.start();
        LayoutWrappingEncoder<ILoggingEvent> encoder = new LayoutWrappingEncoder<>();
        encoder.setLayout(layout);
        return encoder;
    }
}
