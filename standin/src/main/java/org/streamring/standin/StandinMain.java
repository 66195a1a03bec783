package org.streamring.standin;

import com.github.rvesse.airline.Cli;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.help.Help;
import org.streamring.net.process.CommandLine;
import org.streamring.net.process.StopSignal;
import org.streamring.standin.engine.EngineSettings;
import org.streamring.standin.engine.EngineStandin;
import org.streamring.standin.experiment.MeasureCommand;
import org.streamring.standin.experiment.OverheadCommand;
import org.streamring.standin.experiment.SlopesCommand;
import org.streamring.standin.experiment.routing.RoutingCommand;
import org.streamring.standin.model.LoadCommand;
import org.streamring.standin.platform.PlatformStandin;
import org.streamring.standin.proxy.FaultProxy;
import org.streamring.standin.service.ServiceStandin;

/** Command line of the stand-ins. */
public final class StandinMain {
    private StandinMain() {}

    /** Runs the command given on the command line and exits the JVM with its exit code. */
    public static void main(String[] arguments) {
        System.exit(CommandLine.run(commandLine(), arguments));
    }

    private static Cli<Object> commandLine() {
        return Cli.builder("streamring-standin")
                .withDescription("Stand-ins for tests and the quick start")
                .withDefaultCommand(Help.class)
                .withCommand(Help.class)
                .withCommand(PlatformCommand.class)
                .withCommand(EngineCommand.class)
                .withCommand(ServiceCommand.class)
                .withCommand(ProxyCommand.class)
                .withCommand(MeasureCommand.class)
                .withCommand(SlopesCommand.class)
                .withCommand(OverheadCommand.class)
                .withCommand(LoadCommand.class)
                .withCommand(RoutingCommand.class)
                .build();
    }

    private static void runUntilStopped(AutoCloseable standin, String url) {
        StopSignal signal = new StopSignal();
        System.out.println("listening on " + url);
        signal.await();
        try {
            standin.close();
        } catch (Exception e) {
            System.err.println("error while closing the stand-in: " + e);
        }
        signal.stopped();
    }

    /** Runs the stand-in for the platform. */
    @Command(name = "platform", description = "Table service, object store and box list")
    public static final class PlatformCommand implements Runnable {
        @Option(name = "--port", description = "Port on 127.0.0.1")
        private int port;

        @Option(name = "--fleet-key", description = "Access key of the fleet")
        private String fleetKey = "fleet-access-key";

        @Option(name = "--operator-key", description = "Access key of operators")
        private String operatorKey = "operator-access-key";

        @Override
        public void run() {
            PlatformStandin standin = new PlatformStandin(port, fleetKey, operatorKey);
            runUntilStopped(standin, standin.url());
        }
    }

    /** Runs the stand-in for a model engine. */
    @Command(name = "engine", description = "Model engine")
    public static final class EngineCommand implements Runnable {
        @Option(name = "--port", description = "Port on 127.0.0.1")
        private int port;

        @Option(name = "--step-millis", description = "Duration of a step in milliseconds")
        private int stepMillis = 5;

        @Option(name = "--max-batch", description = "Maximum number of sequences in a step")
        private int maxBatch = 16;

        @Option(name = "--prefill-tokens", description = "Maximum number of prompt tokens read in a step")
        private int prefillTokens = 512;

        @Option(name = "--cache-blocks", description = "Maximum number of cached prefix blocks")
        private int cacheBlocks = 1024;

        @Override
        public void run() {
            EngineStandin standin =
                    new EngineStandin(port, new EngineSettings(stepMillis, maxBatch, prefillTokens, cacheBlocks));
            runUntilStopped(standin, standin.url());
        }
    }

    /** Runs the stand-in for a plain service. */
    @Command(name = "service", description = "Plain service")
    public static final class ServiceCommand implements Runnable {
        @Option(name = "--port", description = "Port on 127.0.0.1")
        private int port;

        @Option(name = "--work-millis", description = "Time from a call to its answer in milliseconds")
        private long workMillis = 5;

        @Override
        public void run() {
            ServiceStandin standin = new ServiceStandin(port, workMillis);
            runUntilStopped(standin, standin.url());
        }
    }

    /** Runs a proxy that can inject faults. */
    @Command(name = "proxy", description = "Forwarding proxy between two processes")
    public static final class ProxyCommand implements Runnable {
        @Option(name = "--port", description = "Port on 127.0.0.1")
        private int port;

        @Option(name = "--target", description = "Target port on 127.0.0.1")
        private int target;

        @Option(name = "--delay-millis", description = "Delay of forwarded data in milliseconds")
        private long delayMillis;

        @Override
        public void run() {
            FaultProxy proxy = new FaultProxy(port, target);
            proxy.setDelay(delayMillis);
            runUntilStopped(proxy, proxy.url());
        }
    }
}
