package org.streamring.cli;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.restrictions.Required;
import java.util.List;
import org.streamring.kernel.config.ConfigItem;
import org.streamring.kernel.config.DeclarationItems;
import org.streamring.kernel.table.PlatformException;
import org.streamring.kernel.table.RowText;
import org.streamring.model.declaration.BackendOrder;
import org.streamring.net.settings.SettingsException;

/** Commands that start, drain and stop single backend servers. */
final class BackendCommands {
    private BackendCommands() {}

    abstract static class OrderCommand extends OperatorCommand {
        @Arguments(title = "backend", description = "Name of the backend server's box")
        @Required
        private String backend = "";

        abstract BackendOrder.State state();

        @Override
        void execute() throws CommandException, SettingsException, PlatformException {
            withPlatform((client, services) -> {
                ConfigItem item =
                        new ConfigItem(DeclarationItems.BACKENDS, backend, RowText.write(new BackendOrder(state())));
                String action = "backend " + state().name().toLowerCase(java.util.Locale.ROOT);
                long version = requireApplied(
                        client.changeLatest(new OperatorClient.Wanted(action, List.of(item), List.of(), List.of())));
                System.out.println("ordered; version " + version);
            });
        }
    }

    /** Orders a backend server to take new requests. */
    @Command(name = "start", description = "Let a backend server take new requests")
    public static final class Start extends OrderCommand {
        @Override
        BackendOrder.State state() {
            return BackendOrder.State.START;
        }
    }

    /** Orders a backend server to take no new requests and finish the open ones. */
    @Command(name = "drain", description = "Send a backend server no new requests; open requests finish")
    public static final class Drain extends OrderCommand {
        @Override
        BackendOrder.State state() {
            return BackendOrder.State.DRAIN;
        }
    }

    /** Takes a backend server out of service. */
    @Command(name = "stop", description = "Take a backend server out of service; open requests finish")
    public static final class Stop extends OrderCommand {
        @Override
        BackendOrder.State state() {
            return BackendOrder.State.STOP;
        }
    }
}
