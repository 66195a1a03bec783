package org.streamring.net.process;

import com.github.rvesse.airline.annotations.Option;
import java.nio.file.Path;
import org.streamring.net.peer.PeerException;
import org.streamring.net.settings.SettingValues;
import org.streamring.net.settings.SettingsException;
import org.streamring.net.settings.SettingsSchema;

/** Command line of a program that runs from a settings file until it is asked to stop. */
public abstract class SettingsProgram {
    private static final int EXIT_SETTINGS = 2;
    private static final int EXIT_START = 3;

    @Option(name = "--settings", description = "Settings file (TOML)")
    private String settingsFile = "";

    @Option(name = "--check-settings", description = "Check the settings and exit")
    private boolean checkOnly;

    @Option(name = "--describe-settings", description = "Print every setting as a Markdown table and exit")
    private boolean describe;

    /** What runs until the program is asked to stop. */
    public interface Running {
        /** Finishes what is open, then ends. */
        void stopInOrder();
    }

    /** Settings that the program knows. */
    protected abstract SettingsSchema schema();

    /** Starts what the program is for. */
    protected abstract Running start(SettingValues settings) throws PeerException;

    /** Runs the program and returns its exit code. */
    public int run() {
        if (describe) {
            System.out.print(schema().describe());
            return 0;
        }
        if (settingsFile.isEmpty()) {
            System.err.println("--settings FILE must be given; see --describe-settings for what it may hold");
            return EXIT_SETTINGS;
        }
        try {
            SettingValues settings = schema().read(Path.of(settingsFile));
            if (checkOnly) {
                System.out.println("settings are valid");
                return 0;
            }
            StopSignal signal = new StopSignal();
            Running running = start(settings);
            signal.await();
            running.stopInOrder();
            signal.stopped();
            return 0;
        } catch (SettingsException e) {
            System.err.println(e.getMessage());
            return EXIT_SETTINGS;
        } catch (PeerException e) {
            System.err.println(e.getMessage());
            return EXIT_START;
        }
    }
}
