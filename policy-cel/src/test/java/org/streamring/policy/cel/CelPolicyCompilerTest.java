package org.streamring.policy.cel;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import org.streamring.kernel.policy.CandidateInput;
import org.streamring.kernel.policy.CompiledPolicy;
import org.streamring.kernel.policy.PolicyCompiler;
import org.streamring.kernel.policy.PolicyException;
import org.streamring.kernel.policy.PolicyInput;
import org.streamring.model.declaration.PolicyDeclaration;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class CelPolicyCompilerTest {
    private static final PolicyInput INPUT = new PolicyInput("acc", "llm", "urgent", 2, 100, 50, "budget", true);

    private final PolicyCompiler compiler = PolicyCompiler.load();

    @Test
    public void expressionsDetermineAdmissionRankAndScore() throws PolicyException {
        CompiledPolicy policy = compiler.compile(
                "p",
                new PolicyDeclaration(
                        "account == 'acc' && prompt_tokens < 200", "rank + 1", "load + (same_domain ? 0.0 : 1.0)"));
        assertThat(policy.admits(INPUT)).isTrue();
        assertThat(policy.rank(INPUT)).isEqualTo(3);
        assertThat(policy.score(INPUT, new CandidateInput("s", "d", false, 0.5)))
                .isEqualTo(1.5);
    }

    @Test
    public void omittedExpressionsUseTheBuiltInPolicy() throws PolicyException {
        CompiledPolicy policy = compiler.compile("p", PolicyDeclaration.BUILT_IN);
        assertThat(policy.admits(INPUT)).isTrue();
        assertThat(policy.rank(INPUT)).isEqualTo(2);
        assertThat(policy.score(INPUT, new CandidateInput("s", "d", true, 0.25)))
                .isEqualTo(0.25);
    }

    @DataProvider
    public Object[][] invalidPolicies() {
        return new Object[][] {
            {"account ==", "1:11"},
            {"colour == 'red'", "undeclared reference to 'colour'"},
            {"prompt_tokens + 1", "must give bool"},
            {"[1, 2].all(x, x > 0)", "undeclared reference"},
            {"'" + "a".repeat(3_000) + "' == ''", "size"},
        };
    }

    @Test(dataProvider = "invalidPolicies")
    public void anInvalidPolicyIsRejectedWithItsNameAndError(String admit, String problem) {
        assertThatThrownBy(() -> compiler.compile("p", new PolicyDeclaration(admit, "", "")))
                .isInstanceOf(PolicyException.class)
                .hasMessageContaining("p.admit")
                .hasMessageContaining(problem);
    }
}
