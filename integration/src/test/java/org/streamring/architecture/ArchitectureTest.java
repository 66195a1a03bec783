package org.streamring.architecture;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.Architectures.layeredArchitecture;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import org.testng.annotations.Test;

public class ArchitectureTest {
    private final JavaClasses classes = new ClassFileImporter()
            .withImportOption(ImportOption.Predefined.DO_NOT_INCLUDE_TESTS)
            .importPackages("org.streamring");

    @Test
    public void layersDependInOneDirection() {
        layeredArchitecture()
                .consideringOnlyDependenciesInLayers()
                .layer("model")
                .definedBy("org.streamring.model..")
                .layer("kernel")
                .definedBy("org.streamring.kernel..")
                .layer("adapters")
                .definedBy("org.streamring.net..", "org.streamring.platform..", "org.streamring.policy..")
                .layer("programs")
                .definedBy(
                        "org.streamring.entry..",
                        "org.streamring.sidecar..",
                        "org.streamring.cli..",
                        "org.streamring.direct..")
                .layer("standin")
                .definedBy("org.streamring.standin..")
                .whereLayer("standin")
                .mayNotBeAccessedByAnyLayer()
                .whereLayer("programs")
                .mayNotBeAccessedByAnyLayer()
                .whereLayer("adapters")
                .mayOnlyBeAccessedByLayers("programs", "standin")
                .whereLayer("kernel")
                .mayOnlyBeAccessedByLayers("adapters", "programs", "standin")
                .check(classes);
    }

    @Test
    public void programsDoNotDependOnEachOther() {
        slices().matching("org.streamring.(entry|sidecar|cli|standin|direct)..")
                .should()
                .notDependOnEachOther()
                .check(classes);
    }

    @Test
    public void theKernelUsesNoThreadsClockOrNetwork() {
        noClasses()
                .that()
                .resideInAnyPackage("org.streamring.kernel..", "org.streamring.model..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage("java.net..", "io.netty..", "java.nio.file..")
                .orShould()
                .callMethod(System.class, "currentTimeMillis")
                .orShould()
                .callMethod(System.class, "nanoTime")
                .orShould()
                .dependOnClassesThat()
                .areAssignableTo(Thread.class)
                .check(classes);
    }

    @Test
    public void onlyTheAdapterDependsOnTheUsersPlatform() {
        noClasses()
                .that()
                .resideOutsideOfPackage("org.streamring.platform.rows..")
                .should()
                .dependOnClassesThat()
                .resideInAPackage("org.streamring.platform.rows..")
                .check(classes);
        noClasses()
                .that()
                .resideInAPackage("org.streamring.platform.rows..")
                .should()
                .dependOnClassesThat()
                .resideInAPackage("org.streamring.direct..")
                .check(classes);
    }

    @Test
    public void sidecarsDoNotDependOnThePolicyCompiler() {
        noClasses()
                .that()
                .resideInAPackage("org.streamring.sidecar..")
                .should()
                .dependOnClassesThat()
                .resideInAPackage("dev.cel..")
                .check(classes);
    }

    @Test
    public void programsStartNoOtherProcesses() {
        noClasses()
                .should()
                .dependOnClassesThat()
                .areAssignableTo(ProcessBuilder.class)
                .orShould()
                .callMethod(Runtime.class, "exec", String.class)
                .check(classes);
    }

    @Test
    public void exceptionsAndLoggersFollowTheNamingRules() {
        classes()
                .that()
                .haveSimpleNameEndingWith("Exception")
                .should()
                .beAssignableTo(Exception.class)
                .check(classes);
        com.tngtech.archunit.lang.syntax.ArchRuleDefinition.fields()
                .that()
                .haveRawType(org.slf4j.Logger.class)
                .should()
                .haveName("LOGGER")
                .andShould()
                .beStatic()
                .andShould()
                .beFinal()
                .check(classes);
    }
}
