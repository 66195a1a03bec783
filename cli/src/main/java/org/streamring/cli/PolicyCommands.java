package org.streamring.cli;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import java.nio.file.Path;
import java.util.Map;
import java.util.stream.Collectors;
import org.streamring.kernel.policy.CompiledPolicy;
import org.streamring.kernel.policy.PolicyException;
import org.streamring.model.declaration.Declarations;
import org.streamring.net.settings.SettingsException;

/** Commands on policies. */
final class PolicyCommands {
    private PolicyCommands() {}

    /** Evaluates policies on sample requests. */
    @Command(
            name = "test",
            description = "Evaluate the policies of declaration files on sample requests, without access to a platform")
    public static final class Test extends DeclarationCommands.FileCommand {
        @Option(name = "--samples", description = "File of sample requests and candidates (TOML)")
        @Required
        private String samples = "";

        @Override
        void execute() throws CommandException, SettingsException {
            Declarations declared = declarations();
            Map<String, CompiledPolicy> policies = compile(declared);
            PolicySamples read = PolicySamples.read(Path.of(samples), declared);
            PolicyDryRun dryRun = new PolicyDryRun(declared, policies);
            Report report = new Report("request", "admitted", "rank", "candidates", "expected");
            int failed = 0;
            for (PolicySamples.Request request : read.requests()) {
                failed += addRow(dryRun, request, read, report) ? 0 : 1;
            }
            print(report);
            if (failed > 0) {
                throw new CommandException(
                        ExitCode.NOT_POSSIBLE,
                        "%d of %d samples are not decided as expected"
                                .formatted(failed, read.requests().size()));
            }
        }

        /** Adds the result of a sample to the report. Returns whether it was decided as expected. */
        private static boolean addRow(
                PolicyDryRun dryRun, PolicySamples.Request request, PolicySamples samples, Report report) {
            try {
                PolicyDryRun.SampleResult result = dryRun.evaluate(request, samples.candidates());
                report.row(
                        request.name(),
                        result.decision().admitted() ? "yes" : "no",
                        result.decision().admitted() ? result.decision().rank() : "-",
                        result.ranking().stream()
                                .map(PolicyDryRun.ScoredCandidate::toString)
                                .collect(Collectors.joining(" ")),
                        result.unmetExpectations().isEmpty() ? "met" : String.join(", ", result.unmetExpectations()));
                return result.unmetExpectations().isEmpty();
            } catch (PolicyException e) {
                report.row(request.name(), "no", "-", "", "can't be evaluated: " + e.getMessage());
                return false;
            }
        }
    }
}
