package org.streamring.sidecar;

import com.github.rvesse.airline.SingleCommand;
import com.github.rvesse.airline.annotations.Command;
import org.streamring.net.peer.PeerException;
import org.streamring.net.process.CommandLine;
import org.streamring.net.process.SettingsProgram;
import org.streamring.net.settings.SettingValues;
import org.streamring.net.settings.SettingsSchema;

/** Command-line entry point of the sidecar program. */
@Command(name = "streamring-sidecar", description = "Forwards the requests of entries to one backend server")
public final class SidecarMain extends SettingsProgram {
    /** Parses the arguments, runs the sidecar and exits the JVM with its exit code. */
    public static void main(String[] arguments) {
        System.exit(CommandLine.run(SingleCommand.singleCommand(SidecarMain.class), arguments));
    }

    @Override
    protected SettingsSchema schema() {
        return SidecarSettings.SCHEMA;
    }

    @Override
    protected Running start(SettingValues settings) throws PeerException {
        return new SidecarProcess(settings);
    }
}
