package org.streamring.kernel.admission;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class RepeatedPassTest {
    private final List<String> events = new ArrayList<>();
    private @Nullable RepeatedPass pass;

    @BeforeMethod
    public void forgetEvents() {
        events.clear();
    }

    @Test
    public void aPassThatIsAskedForDuringAPassFollowsIt() {
        pass = new RepeatedPass(() -> {
            events.add("begin");
            if (events.size() < 3) {
                pass.run();
            }
            events.add("end");
        });
        pass.run();
        assertThat(events).containsExactly("begin", "end", "begin", "end");
    }

    @Test
    public void aPassThatThrowsCanBeRunAgain() {
        pass = new RepeatedPass(() -> {
            events.add("run");
            throw new IllegalStateException("failed");
        });
        assertThatThrownBy(pass::run).isInstanceOf(IllegalStateException.class);
        assertThatThrownBy(pass::run).isInstanceOf(IllegalStateException.class);
        assertThat(events).hasSize(2);
    }
}
