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

/** Commands on single backend servers. */
final class BackendCommands {
    private BackendCommands() {}

    abstract static class Order extends OperatorCommand {
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
                long version = applied(
                        client.changeLatest(new OperatorClient.Wanted(action, List.of(item), List.of(), List.of())));
                System.out.println("ordered; version " + version);
            });
        }
    }

    /** Takes new work. */
    @Command(name = "start", description = "Let a backend server take new work")
    public static final class Start extends Order {
        @Override
        BackendOrder.State state() {
            return BackendOrder.State.START;
        }
    }

    /** Finishes open work only. */
    @Command(name = "drain", description = "Give a backend server no new work; open requests finish")
    public static final class Drain extends Order {
        @Override
        BackendOrder.State state() {
            return BackendOrder.State.DRAIN;
        }
    }

    /** Is taken out. */
    @Command(name = "stop", description = "Take a backend server out; open requests finish")
    public static final class Stop extends Order {
        @Override
        BackendOrder.State state() {
            return BackendOrder.State.STOP;
        }
    }
}
