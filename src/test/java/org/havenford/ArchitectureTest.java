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

/** Which package may use which, and who may print. */
class ArchitectureTest {
    /** The packages from low to high: each uses itself and lower lines alone, not the others of its own line. */
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
    Stream<DynamicTest> aPackageUsesOnlyLowerOnes() {
        return LAYERS.stream()
                .flatMap(List::stream)
                .map(p -> DynamicTest.dynamicTest(p, () -> noClasses()
                        .that()
                        .resideInAPackage(p)
                        .should()
                        .dependOnClassesThat(
                                resideInAnyPackage("org.havenford..").and(not(resideInAnyPackage(allowed(p)))))
                        .check(main)));
    }

    /** A package and all of the lower layers. */
    private static String[] allowed(String name) {
        Stream<String> lower =
                LAYERS.stream().takeWhile(layer -> !layer.contains(name)).flatMap(List::stream);
        return Stream.concat(lower, Stream.of(name)).toArray(String[]::new);
    }

    @Test
    void everyClassHasALayer() {
        assertTrue(main.size() > 0);
        String[] all = LAYERS.stream().flatMap(List::stream).toArray(String[]::new);
        classes().should().resideInAnyPackage(all).check(main);
    }

    @Test
    void packagesHaveNoCycles() {
        slices().matching("org.havenford.(**)").should().beFreeOfCycles().check(main);
    }

    @Test
    void nothingUsesTheJdksLogging() {
        noClasses()
                .should()
                .dependOnClassesThat(resideInAnyPackage("java.util.logging.."))
                .check(main);
    }

    /** Main classes print usage and fatal errors; all else goes to the log. */
    @Test
    void onlyMainClassesPrint() {
        noClasses()
                .that(not(belongToAnyOf(Main.class, ClassDataSharingWarmUp.class)))
                .should(ACCESS_STANDARD_STREAMS)
                .check(main);
    }
}
