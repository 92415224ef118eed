package org.havenford;

import static com.tngtech.archunit.base.DescribedPredicate.not;
import static com.tngtech.archunit.core.domain.JavaClass.Predicates.belongToAnyOf;
import static com.tngtech.archunit.core.domain.JavaClass.Predicates.resideInAnyPackage;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.GeneralCodingRules.ACCESS_STANDARD_STREAMS;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestFactory;

/** Checks the dependencies between packages, the use of JDK logging and the access to standard streams. */
class ArchitectureTest {
    /** The layers from low to high. A package may depend on itself and on lower layers, not on others of its own layer. */
    private static final List<List<String>> LAYERS = List.of(
            List.of("org.havenford.transport"),
            List.of("org.havenford.protocol"),
            List.of("org.havenford.settings"),
            List.of("org.havenford.storage.records"),
            List.of("org.havenford.storage"),
            List.of("org.havenford.coordination.monitoring", "org.havenford.coordination.membership"),
            List.of("org.havenford.coordination.agents"),
            List.of("org.havenford.coordination.placement"),
            List.of("org.havenford.coordination.jobs", "org.havenford.coordination.quota"),
            List.of("org.havenford.coordination.scheduling"),
            List.of("org.havenford.coordination.provisioning"),
            List.of("org.havenford.coordination.failover"),
            List.of("org.havenford.controller"),
            List.of("org.havenford.standby"),
            List.of("org.havenford"));

    private static JavaClasses main;

    @BeforeAll
    static void readMainClasses() {
        main = new ClassFileImporter()
                .withImportOption(ImportOption.Predefined.DO_NOT_INCLUDE_TESTS)
                .importPackages("org.havenford");
    }

    @TestFactory
    Stream<DynamicTest> packagesDependOnlyOnLowerLayers() {
        return LAYERS.stream()
                .flatMap(List::stream)
                .map(p -> DynamicTest.dynamicTest(p, () -> noClasses()
                        .that()
                        .resideInAPackage(p)
                        .should()
                        .dependOnClassesThat(
                                resideInAnyPackage("org.havenford..").and(not(resideInAnyPackage(allowedPackages(p)))))
                        .check(main)));
    }

    /** Returns a package and the packages of all lower layers. */
    private static String[] allowedPackages(String packageName) {
        Stream<String> lower =
                LAYERS.stream().takeWhile(layer -> !layer.contains(packageName)).flatMap(List::stream);
        return Stream.concat(lower, Stream.of(packageName)).toArray(String[]::new);
    }

    @Test
    void everyClassBelongsToALayer() {
        assertTrue(main.size() > 0);
        String[] all = LAYERS.stream().flatMap(List::stream).toArray(String[]::new);
        classes().should().resideInAnyPackage(all).check(main);
    }

    @Test
    void packagesHaveNoCycles() {
        slices().matching("org.havenford.(**)").should().beFreeOfCycles().check(main);
    }

    @Test
    void noClassUsesJdkLogging() {
        noClasses()
                .should()
                .dependOnClassesThat(resideInAnyPackage("java.util.logging.."))
                .check(main);
    }

    /** Classes with a main method print usage and fatal errors; all other output goes to the log. */
    @Test
    void onlyMainClassesAccessStandardStreams() {
        noClasses()
                .that(not(belongToAnyOf(Main.class, ClassDataSharingWarmUp.class)))
                .should(ACCESS_STANDARD_STREAMS)
                .check(main);
    }
}
