package org.streamring.policy.cel;

import dev.cel.common.CelAbstractSyntaxTree;
import dev.cel.common.CelOptions;
import dev.cel.common.CelValidationException;
import dev.cel.common.types.CelType;
import dev.cel.common.types.SimpleType;
import dev.cel.compiler.CelCompiler;
import dev.cel.compiler.CelCompilerBuilder;
import dev.cel.compiler.CelCompilerFactory;
import dev.cel.parser.CelStandardMacro;
import dev.cel.runtime.CelEvaluationException;
import dev.cel.runtime.CelRuntime;
import dev.cel.runtime.CelRuntimeFactory;
import java.util.Optional;
import org.streamring.kernel.policy.CompiledPolicy;
import org.streamring.kernel.policy.PolicyCompiler;
import org.streamring.kernel.policy.PolicyException;
import org.streamring.model.declaration.PolicyDeclaration;

/**
 * Compiles policies written in CEL. The length and depth of an expression are limited, and {@code has} is the only
 * macro available, so that expressions cannot loop. The size of an expression thus bounds the cost of its evaluation.
 */
public final class CelPolicyCompiler implements PolicyCompiler {
    private static final int MAX_EXPRESSION_LENGTH = 2_000;
    private static final int MAX_PARSE_DEPTH = 50;

    private final CelCompiler requestCompiler;
    private final CelCompiler candidateCompiler;
    private final CelRuntime runtime;

    /** Creates the compilers for expressions on requests and on candidates. */
    public CelPolicyCompiler() {
        requestCompiler = addRequestVariables(builder()).build();
        candidateCompiler =
                addCandidateVariables(addRequestVariables(builder())).build();
        runtime = CelRuntimeFactory.plannerRuntimeBuilder().build();
    }

    private static CelCompilerBuilder builder() {
        CelOptions options = CelOptions.current()
                .maxExpressionCodePointSize(MAX_EXPRESSION_LENGTH)
                .maxParseRecursionDepth(MAX_PARSE_DEPTH)
                .build();
        return CelCompilerFactory.standardCelCompilerBuilder()
                .setOptions(options)
                .setStandardMacros(CelStandardMacro.HAS);
    }

    private static CelCompilerBuilder addRequestVariables(CelCompilerBuilder builder) {
        return builder.addVar(Variables.ACCOUNT, SimpleType.STRING)
                .addVar(Variables.SERVICE, SimpleType.STRING)
                .addVar(Variables.PRIORITY_CLASS, SimpleType.STRING)
                .addVar(Variables.RANK, SimpleType.INT)
                .addVar(Variables.PROMPT_TOKENS, SimpleType.INT)
                .addVar(Variables.ANSWER_TOKENS, SimpleType.INT)
                .addVar(Variables.BUDGET, SimpleType.STRING)
                .addVar(Variables.REPEATABLE, SimpleType.BOOL);
    }

    private static CelCompilerBuilder addCandidateVariables(CelCompilerBuilder builder) {
        return builder.addVar(Variables.CANDIDATE, SimpleType.STRING)
                .addVar(Variables.FAILURE_DOMAIN, SimpleType.STRING)
                .addVar(Variables.SAME_DOMAIN, SimpleType.BOOL)
                .addVar(Variables.LOAD, SimpleType.DOUBLE);
    }

    @Override
    public CompiledPolicy compile(String name, PolicyDeclaration policy) throws PolicyException {
        return new CelPolicy(
                name,
                compileExpression(requestCompiler, name + ".admit", policy.admit(), SimpleType.BOOL),
                compileExpression(requestCompiler, name + ".priority", policy.priority(), SimpleType.INT),
                compileExpression(candidateCompiler, name + ".score", policy.score(), SimpleType.DOUBLE));
    }

    private Optional<CelRuntime.Program> compileExpression(
            CelCompiler compiler, String expressionName, String expression, CelType type) throws PolicyException {
        if (expression.isEmpty()) {
            return Optional.empty();
        }
        try {
            CelAbstractSyntaxTree tree = compiler.compile(expression).getAst();
            if (!tree.getResultType().equals(type)) {
                throw new PolicyException(
                        expressionName, "gives " + tree.getResultType().name() + ", but must give " + type.name());
            }
            return Optional.of(runtime.createProgram(tree));
        } catch (CelValidationException | CelEvaluationException e) {
            throw new PolicyException(expressionName, String.valueOf(e.getMessage()));
        }
    }
}
