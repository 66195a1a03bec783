package org.streamring.net.log;

import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.classic.spi.IThrowableProxy;
import ch.qos.logback.classic.spi.StackTraceElementProxy;
import ch.qos.logback.core.LayoutBase;
import java.time.Instant;
import java.time.ZoneOffset;
import java.time.format.DateTimeFormatter;
import java.util.Locale;

/**
 * Formats an event as one line with UTC time, level, class of the logger and message, followed by the top of the stack
 * trace if there is one.
 */
final class TextLayout extends LayoutBase<ILoggingEvent> {
    private static final DateTimeFormatter TIME = DateTimeFormatter.ofPattern(
                    "uuuu-MM-dd'T'HH:mm:ss.SSSXXX", Locale.ROOT)
            .withZone(ZoneOffset.UTC);
    private static final int LEVEL_WIDTH = 6;
    private static final int MAX_STACK_FRAMES = 5;

    @Override
    public String doLayout(ILoggingEvent event) {
        StringBuilder line = new StringBuilder();
        line.append(TIME.format(Instant.ofEpochMilli(event.getTimeStamp()))).append(' ');
        appendPadded(line, event.getLevel().toString());
        line.append(shortName(event.getLoggerName())).append(' ');
        line.append(event.getFormattedMessage()).append('\n');
        if (event.getThrowableProxy() != null) {
            appendStack(line, event.getThrowableProxy());
        }
        return line.toString();
    }

    private static void appendPadded(StringBuilder line, String level) {
        line.append(level);
        line.append(" ".repeat(Math.max(1, LEVEL_WIDTH - level.length())));
    }

    private static String shortName(String logger) {
        return logger.substring(logger.lastIndexOf('.') + 1);
    }

    private static void appendStack(StringBuilder line, IThrowableProxy failure) {
        line.append(failure.getClassName())
                .append(": ")
                .append(failure.getMessage())
                .append('\n');
        StackTraceElementProxy[] stack = failure.getStackTraceElementProxyArray();
        for (int i = 0; i < Math.min(MAX_STACK_FRAMES, stack.length); i++) {
            line.append("\t").append(stack[i]).append('\n');
        }
        if (failure.getCause() != null) {
            line.append("caused by ");
            appendStack(line, failure.getCause());
        }
    }
}
