package org.streamring.net.log;

import static org.assertj.core.api.Assertions.assertThat;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.classic.spi.LoggingEvent;
import ch.qos.logback.classic.util.LogbackMDCAdapter;
import ch.qos.logback.core.ConsoleAppender;
import ch.qos.logback.core.encoder.Encoder;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import org.slf4j.LoggerFactory;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.Test;

public class LogConfiguratorTest {
    private final LoggerContext context = new LoggerContext();

    @AfterMethod(alwaysRun = true)
    public void resetFormat() {
        context.reset();
        System.clearProperty("streamring.log");
    }

    @Test
    public void logbackUsesThisConfigurator() {
        Logger root = (Logger) LoggerFactory.getLogger(Logger.ROOT_LOGGER_NAME);
        assertThat(root.iteratorForAppenders().next()).isInstanceOf(ConsoleAppender.class);
        Logger netty = (Logger) LoggerFactory.getLogger("io.netty.anything");
        assertThat(netty.isInfoEnabled()).isFalse();
        assertThat(netty.isWarnEnabled()).isTrue();
    }

    @Test
    public void aTextLineHasTimeLevelClassAndMessage() {
        assertThat(encoded(null)).isEqualTo("2026-12-02T10:00:00.250Z WARN  PeerTable peer_lost peer=a\n");
    }

    @Test
    public void anExceptionIsFollowedByTheTopOfItsStackTraceAndItsCause() {
        IllegalStateException failure = new IllegalStateException("broken", new IllegalArgumentException("why"));
        assertThat(encoded(failure).lines())
                .contains("java.lang.IllegalStateException: broken")
                .contains("caused by java.lang.IllegalArgumentException: why")
                .hasSize(1 + 6 + 6);
    }

    @Test
    public void jsonIsWrittenIfConfigured() {
        System.setProperty("streamring.log", "json");
        assertThat(encoded(null))
                .startsWith("{")
                .contains("\"formattedMessage\":\"peer_lost peer=a\"")
                .endsWith("}\n");
    }

    private String encoded(Throwable failure) {
        context.setMDCAdapter(new LogbackMDCAdapter());
        new LogConfigurator().configure(context);
        Logger logger = context.getLogger("org.streamring.PeerTable");
        LoggingEvent event = new LoggingEvent("", logger, Level.WARN, "peer_lost peer={}", failure, new Object[] {"a"});
        event.setInstant(Instant.parse("2026-12-02T10:00:00.250Z"));
        return new String(encoder().encode(event), StandardCharsets.UTF_8);
    }

    private Encoder<ILoggingEvent> encoder() {
        ConsoleAppender<ILoggingEvent> appender =
                (ConsoleAppender<ILoggingEvent>) context.getLogger(Logger.ROOT_LOGGER_NAME)
                        .iteratorForAppenders()
                        .next();
        return appender.getEncoder();
    }
}
