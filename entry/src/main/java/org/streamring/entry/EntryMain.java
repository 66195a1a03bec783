package org.streamring.entry;

import com.github.rvesse.airline.SingleCommand;
import com.github.rvesse.airline.annotations.Command;
import org.streamring.net.peer.PeerException;
import org.streamring.net.process.CommandLine;
import org.streamring.net.process.SettingsProgram;
import org.streamring.net.settings.SettingValues;
import org.streamring.net.settings.SettingsSchema;

/** Command line of the entry program. */
@Command(name = "streamring-entry", description = "Serves callers and decides on their requests")
public final class EntryMain extends SettingsProgram {
    /** Runs the program and exits the JVM with its exit code. */
    public static void main(String[] arguments) {
        System.exit(CommandLine.run(SingleCommand.singleCommand(EntryMain.class), arguments));
    }

    @Override
    protected SettingsSchema schema() {
        return EntrySettings.SCHEMA;
    }

    @Override
    protected Running start(SettingValues settings) throws PeerException {
        return new EntryProcess(settings);
    }
}
