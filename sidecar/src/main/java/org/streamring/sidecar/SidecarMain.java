package org.streamring.sidecar;

import com.github.rvesse.airline.SingleCommand;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import java.nio.file.Path;
import org.streamring.net.peer.PeerException;
import org.streamring.net.process.StopSignal;
import org.streamring.net.settings.SettingValues;
import org.streamring.net.settings.SettingsException;

/** Command line of the sidecar program. */
@Command(name = "streamring-sidecar", description = "Guards one backend server")
public final class SidecarMain {
    private static final int EXIT_SETTINGS = 2;
    private static final int EXIT_START = 3;

    @Option(name = "--settings", description = "Settings file (TOML)")
    private String settingsFile = "";

    @Option(name = "--describe-settings", description = "Print every setting as a Markdown table and exit")
    private boolean describe;

    @Option(name = "--check-settings", description = "Check the settings and exit")
    private boolean checkOnly;

    /** Runs the program. */
    public static void main(String[] arguments) {
        SidecarMain main = SingleCommand.singleCommand(SidecarMain.class).parse(arguments);
        System.exit(main.run());
    }

    private int run() {
        if (describe) {
            System.out.print(SidecarSettings.SCHEMA.describe());
            return 0;
        }
        if (settingsFile.isEmpty()) {
            System.err.println("--settings FILE must be given; see --describe-settings for what it may hold");
            return EXIT_SETTINGS;
        }
        try {
            SettingValues settings = SidecarSettings.SCHEMA.read(Path.of(settingsFile));
            if (checkOnly) {
                System.out.println("settings are valid");
                return 0;
            }
            StopSignal signal = new StopSignal();
            SidecarProcess process = new SidecarProcess(settings);
            signal.await();
            process.stopInOrder();
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
