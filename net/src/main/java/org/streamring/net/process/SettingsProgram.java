package org.streamring.net.process;

import com.github.rvesse.airline.annotations.Option;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import org.streamring.net.peer.PeerException;
import org.streamring.net.settings.SettingValues;
import org.streamring.net.settings.SettingsException;
import org.streamring.net.settings.SettingsSchema;

/** Base class of programs that are configured by a settings file and run until the process is asked to stop. */
public abstract class SettingsProgram implements Callable<Integer> {
    private static final int EXIT_INVALID_SETTINGS = 2;
    private static final int EXIT_START_FAILED = 3;

    @Option(name = "--settings", description = "Settings file (TOML)")
    private String settingsFile = "";

    @Option(name = "--check-settings", description = "Check the settings and exit")
    private boolean checkOnly;

    @Option(name = "--describe-settings", description = "Print every setting as a Markdown table and exit")
    private boolean describe;

    /** Started program. */
    public interface Running {
        /** Completes open requests, then stops. */
        void stopGracefully();
    }

    /** Returns the settings supported by the program. */
    protected abstract SettingsSchema schema();

    /**
     * Starts the program.
     *
     * @throws PeerException if an address cannot be bound or a connection cannot be established
     */
    protected abstract Running start(SettingValues settings) throws PeerException;

    /** Runs the program until it is stopped; returns the exit code: 0, 2 for invalid settings, 3 for a failed start. */
    @Override
    public Integer call() {
        if (describe) {
            System.out.print(schema().describe());
            return 0;
        }
        if (settingsFile.isEmpty()) {
            System.err.println("--settings FILE must be given; see --describe-settings for the supported settings");
            return EXIT_INVALID_SETTINGS;
        }
        try {
            SettingValues settings = schema().read(Path.of(settingsFile));
            if (checkOnly) {
                System.out.println("settings are valid");
                return 0;
            }
            StopSignal stopSignal = new StopSignal();
            Running running = start(settings);
            stopSignal.await();
            running.stopGracefully();
            stopSignal.stopped();
            return 0;
        } catch (SettingsException e) {
            System.err.println(e.getMessage());
            return EXIT_INVALID_SETTINGS;
        } catch (PeerException e) {
            System.err.println(e.getMessage());
            return EXIT_START_FAILED;
        }
    }
}
