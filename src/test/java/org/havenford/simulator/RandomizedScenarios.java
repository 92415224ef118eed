package org.havenford.simulator;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.LongFunction;
import java.util.stream.Stream;
import org.junit.jupiter.api.DynamicTest;

/** Days with random work and random troubles, drawn from a seed and written as traces; the same seed gives the same day. */
final class RandomizedScenarios {
    private static final List<String> ZONES = List.of("a", "b", "c");

    private RandomizedScenarios() {}

    /**
     * Plays days of consecutive seeds. The system property {@code havenford.seeds} scales how many of each kind are played
     * (12 by default), {@code havenford.firstSeed} says where they begin. The seeds that are played by default have a kept
     * {@link BehaviourDigest} under {@code kind}.
     */
    static Stream<DynamicTest> play(String kind, int usually, LongFunction<List<String>> day) {
        int seeds = Integer.getInteger("havenford.seeds", 12) * usually / 12;
        long first = Long.getLong("havenford.firstSeed", 1);
        return Stream.iterate(first, s -> s + 1)
                .limit(seeds)
                .map(seed -> DynamicTest.dynamicTest("seed " + seed, () -> {
                    List<String> lines = day.apply(seed);
                    TracePlayer.Result result = TracePlayer.play(lines);
                    assertEquals(
                            List.of(), result.violations(), () -> String.join("\n", lines) + "\n--\n" + result.log());
                    if (seed >= 1 && seed <= usually) {
                        result.world().behaviour.assertKept(kind + "/" + seed);
                    }
                }));
    }

    /** Nothing new is asked of the service before all controllers have the new version. */
    static List<String> upgrade(long seed) {
        SplittableRandom r = new SplittableRandom(-seed);
        int nodes = new int[] {3, 5, 7}[r.nextInt(3)];
        List<String> out = new ArrayList<>();
        int over = addUpgrade(r, nodes, out);
        out.addAll(troubles(seed, nodes, over));
        return out;
    }

    /** Lets the controllers come back one by one with this version, and the store's limits fall after it; returns when all are new. */
    private static int addUpgrade(SplittableRandom r, int nodes, List<String> out) {
        out.addAll(List.of("version format-1", "next 2 4 75"));
        int at = 6 + r.nextInt(6);
        for (int n = 0; n < nodes; n++) {
            out.add("at " + at + " upgrade node-" + n);
            out.add("at " + at + "." + (3 + r.nextInt(6)) + " start node-" + n);
            at += 2 + r.nextInt(5);
        }
        out.add("at " + (at + 2 + r.nextInt(20)) + " lower-limits");
        return at;
    }

    /** A day drawn from a seed, as a trace; a seed that fails is kept as one. */
    static List<String> troubles(long seed) {
        int nodes = new int[] {3, 3, 5, 7}[new SplittableRandom(seed).nextInt(4)];
        return troubles(seed, nodes, 0);
    }

    /** Troubles, and with them broken jobs, a guest's small jobs, questions as a storm, and machines that come late or never. */
    static List<String> operations(long seed) {
        SplittableRandom r = new SplittableRandom(seed + 7);
        int nodes = new int[] {3, 5, 7}[r.nextInt(3)];
        List<String> out = new ArrayList<>(troubles(seed, nodes, 0));
        out.add("per-offer 6");
        for (int i = 0; i < 3; i++) {
            String id = "j-" + (300 + i);
            out.add("at " + (5 + r.nextInt(60)) + " submit " + id + " blue " + (1 + r.nextInt(12)) + " 1 5 broken"
                    + (r.nextBoolean() ? " urgent" : ""));
            out.add("at " + (120 + r.nextInt(100)) + " cancel " + id);
        }
        int from = 10 + r.nextInt(60);
        for (int i = 0; i < 20; i++) {
            String id = "j-" + (400 + i);
            out.add("at " + (from + i / 10.0) + " submit " + id + " blue 1 1 " + (3 + r.nextInt(20))
                    + " low class=dust");
            out.add("expect done " + id);
        }
        int storm = 10 + r.nextInt(60);
        out.add("at " + storm + " polls-as-often 8");
        out.add("at " + (storm + 40) + " polls-as-often 1");
        int boots = 5 + r.nextInt(50);
        out.add("at " + boots + (r.nextBoolean() ? " boots 1" : " boots 70"));
        out.add("at " + (boots + 60) + " boots-usually");
        String zone = zone(r);
        out.add("at " + (5 + r.nextInt(40)) + " dark-zone " + zone);
        out.add("at 90 lit-zone " + zone);
        String still = "node-" + r.nextInt(nodes);
        int freeze = 10 + r.nextInt(80);
        out.add("at " + freeze + " freeze " + still);
        out.add("at " + (freeze + 3 + r.nextInt(40)) + " thaw " + still);
        String cut = "node-" + r.nextInt(nodes);
        int reset = 10 + r.nextInt(60);
        out.add("at " + reset + " reset-workers " + cut);
        out.add("at " + (reset + 40) + " reach " + cut);
        return out;
    }

    /** Troubles, and cuts between controllers, while all of them or all but one have a standby. */
    static List<String> troublesWithStandby(long seed) {
        SplittableRandom r = new SplittableRandom(seed + 11);
        int nodes = new int[] {3, 3, 5, 7}[r.nextInt(4)];
        List<String> out = new ArrayList<>(List.of("standby on"));
        if (r.nextInt(3) == 0) {
            out.add("standby-off node-" + r.nextInt(nodes));
        }
        for (int i = 0; i < 4; i++) {
            String one = "node-" + r.nextInt(nodes);
            String other = "node-" + r.nextInt(nodes);
            int at = 10 + r.nextInt(90);
            int until = at + 1 + r.nextInt(25);
            boolean oneWay = r.nextBoolean();
            if (!one.equals(other)) {
                String how = oneWay ? "" : r.nextBoolean() ? " drop" : " reset";
                out.add("at " + at + (oneWay ? " cut-peer " : " cut ") + one + " " + other + how);
                out.add("at " + until + (oneWay ? " heal-peer " : " heal ") + one + " " + other);
            }
        }
        for (int i = 0; i < 2; i++) {
            String node = "node-" + r.nextInt(nodes);
            int at = 10 + r.nextInt(90);
            out.add("at " + at + " freeze " + node);
            out.add("at " + (at + 1 + r.nextInt(12)) + " thaw " + node);
        }
        out.addAll(troubles(seed, nodes, 0));
        return out;
    }

    private static List<String> troubles(long seed, int nodes, int pipelinesFrom) {
        SplittableRandom r = new SplittableRandom(seed);
        r.nextInt(4);
        List<String> out = new ArrayList<>(List.of(
                "seed " + seed,
                "nodes " + nodes,
                "team red 16 40",
                "team blue 0 0",
                "machine large a ordinary",
                "machine small b ordinary",
                "machine large c spot",
                "machine small a spot"));
        Map<String, Integer> submitted = new TreeMap<>();
        Map<String, List<String>> awaits = new HashMap<>();
        for (int i = 0; i < 14; i++) {
            String id = "j-" + (100 + i);
            int at = 3 + r.nextInt(90);
            List<String> needs = needs(r, submitted, at);
            if (at <= pipelinesFrom) {
                needs.clear();
            }
            submitted.put(id, at);
            awaits.put(id, needs);
            out.add("at " + at + " submit " + id + " " + (r.nextBoolean() ? "red" : "blue") + " " + (1 + r.nextInt(8))
                    + " "
                    + (1 + r.nextInt(4)) + " " + (5 + r.nextInt(20)) + (r.nextInt(4) == 0 ? " apart" : "")
                    + (r.nextInt(4) == 0 ? " ordinary" : "")
                    + (needs.isEmpty() ? "" : " awaits=" + String.join(",", needs)));
            if (r.nextInt(4) == 0) {
                out.add("at " + (at + 3 + r.nextInt(20)) + " cancel " + id);
            } else {
                out.add("expect done " + id);
            }
        }
        faults(r, nodes, 4, 14, 6, out);
        expectNothingOfCalledOff(out, awaits);
        out.add("until 480");
        out.add("expect served");
        return out;
    }

    /** A user names jobs that were accepted before. */
    private static List<String> needs(SplittableRandom r, Map<String, Integer> submitted, int at) {
        List<String> earlier = submitted.entrySet().stream()
                .filter(e -> e.getValue() + 4 < at)
                .map(Map.Entry::getKey)
                .toList();
        List<String> needs = new ArrayList<>();
        for (int n = earlier.isEmpty() || r.nextInt(3) > 0 ? 0 : 1 + r.nextInt(2); n > 0; n--) {
            needs.add(earlier.get(r.nextInt(earlier.size())));
        }
        return needs;
    }

    /** A day of tens of machines on which most jobs say where they may run, with small and large images, amid troubles. */
    static List<String> placements(long seed) {
        int nodes = new int[] {3, 3, 5, 7}[new SplittableRandom(seed).nextInt(4)];
        return placements(seed, nodes, 0);
    }

    /** The same while the controllers come back one by one with this version. */
    static List<String> placementsAmidAnUpgrade(long seed) {
        SplittableRandom r = new SplittableRandom(-seed);
        int nodes = new int[] {3, 5, 7}[r.nextInt(3)];
        List<String> out = new ArrayList<>();
        int over = addUpgrade(r, nodes, out);
        out.addAll(placements(seed, nodes, over));
        return out;
    }

    private static List<String> placements(long seed, int nodes, int pipelinesFrom) {
        SplittableRandom r = new SplittableRandom(seed);
        r.nextInt(4);
        List<String> out = new ArrayList<>(
                List.of("seed " + seed, "nodes " + nodes, "team red 32 " + (60 + r.nextInt(60)), "team blue 0 0"));
        int machines = 18 + r.nextInt(18);
        for (int i = 0; i < machines; i++) {
            String type = r.nextInt(3) == 0 ? "large" : "small";
            String kind = r.nextInt(3) == 0 ? "ordinary" : "spot";
            out.add("machine " + type + " " + zone(r) + " " + kind);
        }
        Map<String, Integer> submitted = new TreeMap<>();
        Map<String, List<String>> awaits = new HashMap<>();
        int jobs = 26;
        for (int i = 0; i < jobs; i++) {
            String id = "j-" + (100 + i);
            int at = 3 + r.nextInt(110);
            List<String> needs = needs(r, submitted, at);
            if (at <= pipelinesFrom) {
                needs.clear();
            }
            submitted.put(id, at);
            awaits.put(id, needs);
            out.add("at " + at + " submit " + id + " " + constrained(r)
                    + (needs.isEmpty() ? "" : " awaits=" + String.join(",", needs)));
            if (r.nextInt(6) == 0) {
                out.add("at " + (at + 3 + r.nextInt(20)) + " cancel " + id);
            } else {
                out.add("expect done " + id);
            }
        }
        faults(r, nodes, machines, jobs, 10, out);
        lateMessages(r, nodes, machines, 5, out);
        if (r.nextInt(3) == 0) {
            // A controller that was away for a while has to read all keys again.
            out.add("keep-changes " + (20 + r.nextInt(80)));
        }
        expectNothingOfCalledOff(out, awaits);
        out.add("until 600");
        out.add("expect served");
        return out;
    }

    /** Team, size and options of a job; each constraint comes alone and together with others. */
    private static String constrained(SplittableRandom r) {
        StringBuilder job = new StringBuilder(r.nextBoolean() ? "red" : "blue");
        int tasks = r.nextInt(6) == 0 ? 20 + r.nextInt(40) : 1 + r.nextInt(12);
        job.append(" ")
                .append(tasks)
                .append(" ")
                .append(1 + r.nextInt(4))
                .append(" ")
                .append(4 + r.nextInt(16));
        List<String> constraints = new ArrayList<>();
        switch (r.nextInt(8)) {
            case 0, 1, 2 -> constraints.add("together");
            case 3, 4, 5 -> constraints.add("apart");
            case 6 -> constraints.addAll(List.of("together", "apart"));
            default -> {
                // Free to run in any zone.
            }
        }
        if (r.nextInt(5) == 0) {
            constraints.add("zone=" + zone(r));
        }
        if (r.nextInt(4) == 0) {
            constraints.add("types=" + (r.nextBoolean() ? "large" : "small"));
        }
        if (r.nextInt(4) == 0) {
            constraints.add("ordinary");
        }
        constraints.forEach(c -> job.append(" ").append(c));
        job.append(" class=")
                .append(constraints.isEmpty() ? "free" : constraints.get(0).replace('=', '-'));
        if (r.nextInt(3) > 0) {
            job.append(" image-gb=").append(2 + r.nextInt(9));
        }
        if (r.nextInt(2) == 0) {
            job.append(" due=").append(40 + r.nextInt(160));
        }
        return job.append(r.nextInt(4) == 0 ? " urgent" : "").toString();
    }

    private static String zone(SplittableRandom r) {
        return ZONES.get(r.nextInt(ZONES.size()));
    }

    private static String host(int number) {
        return String.format("host-%06d", number);
    }

    /** Draws some troubles, one after the other. */
    private static void faults(SplittableRandom r, int nodes, int machines, int jobs, int count, List<String> out) {
        int at = 10;
        for (int i = 0; i < count; i++) {
            at += 4 + r.nextInt(16);
            String node = "node-" + r.nextInt(nodes);
            String host = host(r.nextInt(machines));
            int length = 2 + r.nextInt(28);
            String how = r.nextBoolean() ? "hold" : "drop";
            switch (r.nextInt(20)) {
                case 0 -> {
                    out.add("at " + at + " crash " + node);
                    out.add("at " + at + ".3 start " + node);
                }
                case 1 -> {
                    for (int n = 0; n < nodes; n++) {
                        out.add("at " + at + "." + n + " crash node-" + n);
                        out.add("at " + (at + 3) + "." + r.nextInt(10) + " start node-" + n);
                    }
                }
                case 2 -> {
                    out.add("at " + at + " cut " + node + " state " + how);
                    out.add("at " + (at + length) + " heal " + node + " state");
                }
                case 3 -> {
                    for (int h = 0; h < machines; h++) {
                        out.add("at " + at + " cut " + node + " " + host(h) + " " + how);
                        out.add("at " + (at + length) + " heal " + node + " " + host(h));
                    }
                }
                case 4 -> {
                    out.add("at " + at + " outage on");
                    out.add("at " + (at + Math.min(12, length)) + " outage off");
                }
                case 5 -> {
                    out.add("at " + at + " hang " + host);
                    out.add("at " + (at + length) + " wake " + host);
                }
                case 7 -> {
                    out.add("at " + at + " deaf " + host);
                    out.add("at " + (at + 2 * length) + " hears " + host);
                }
                case 8 -> {
                    out.add("at " + at + " copies " + host + " " + (1 + r.nextInt(40)));
                    out.add("at " + (at + 2 * length) + " no-copies " + host);
                }
                case 9 -> {
                    out.add("at " + at + " cut " + node + " state " + how);
                    out.add("at " + (at + length) + " heal " + node + " state");
                    out.add("at " + at + ".2 reboot " + host);
                }
                case 10 -> {
                    out.add("at " + at + " crash " + node);
                    out.add("at " + at + ".1 start " + node);
                    out.add("at " + at + ".1 crash node-0");
                    out.add("at " + at + ".4 start node-0");
                }
                case 11 -> {
                    out.add("at " + at + " freeze " + node);
                    out.add("at " + (at + length) + " thaw " + node);
                }
                case 12 -> {
                    String zone = zone(r);
                    out.add("at " + at + " cut-zone " + zone + " " + how);
                    out.add("at " + (at + length) + " heal-zone " + zone);
                }
                case 13 -> {
                    out.add("at " + at + " repeats " + node + " " + (1 + r.nextInt(40)));
                    out.add("at " + (at + length) + " no-repeats " + node);
                }
                case 14 ->
                    out.add("at " + at + " slow-calls " + node + " " + (1 + r.nextInt(6)) + " "
                            + (1 + r.nextInt(20)) / 10.0);
                case 15 -> {
                    out.add("at " + at + " refuse " + node);
                    out.add("at " + at + " cancel j-" + (100 + r.nextInt(jobs)) + " node-" + r.nextInt(nodes));
                    out.add("at " + (at + 1) + " outage on");
                    out.add("at " + (at + 1 + 2 * length) + " outage off");
                    out.add("at " + (at + 3 * length) + " serve " + node);
                }
                case 16 -> {
                    out.add("at " + at + " mute " + host);
                    out.add("at " + (at + 2 * length) + " speaks " + host);
                }
                case 17 -> {
                    String id = "j-" + (100 + r.nextInt(jobs));
                    for (int k = 0; k < 4; k++) {
                        out.add("at " + (at + r.nextInt(30)) + " repeat " + id);
                        out.add("at " + (at + r.nextInt(30)) + " ask " + id);
                    }
                    out.add("at " + (at + r.nextInt(30)) + " cancel " + id);
                }
                case 18 -> {
                    out.add("at " + at + " slow-links " + (1 + r.nextInt(10)) / 10.0);
                    out.add("at " + (at + length) + " slow-links 0");
                }
                case 6 -> out.add("at " + at + " late-txns " + (1 + r.nextInt(4)) + " " + length);
                default -> {
                    out.add("at " + at + " take " + host);
                }
            }
        }
    }

    /** Draws commands, changes and answers that come late or not at all. */
    private static void lateMessages(SplittableRandom r, int nodes, int machines, int count, List<String> out) {
        int at = 10;
        for (int i = 0; i < count; i++) {
            at += 2 + r.nextInt(24);
            String node = "node-" + r.nextInt(nodes);
            String host = host(r.nextInt(machines));
            int length = 5 + r.nextInt(30);
            double late = (1 + r.nextInt(160)) / 10.0;
            switch (r.nextInt(4)) {
                case 0 -> {
                    out.add("at " + at + " late-commands " + host + " " + late);
                    out.add("at " + (at + length) + " late-commands " + host + " 0");
                }
                case 1 -> {
                    out.add("at " + at + " late-changes " + node + " " + late);
                    out.add("at " + (at + length) + " late-changes " + node + " 0");
                }
                case 2 -> out.add("at " + at + " lost-answers " + (1 + r.nextInt(5)));
                default -> {
                    out.add("at " + at + " repeats " + node + " " + late);
                    out.add("at " + (at + length) + " no-repeats " + node);
                }
            }
        }
    }

    /** What is expected to be done, less what may have been cancelled. */
    private static void expectNothingOfCalledOff(List<String> out, Map<String, List<String>> awaits) {
        // A job that is called off at a drawn moment may be over or not; what needs it shares its fate.
        Set<String> calledOff = new HashSet<>();
        out.forEach(l -> {
            String[] w = l.split(" ");
            if (w.length > 3 && w[2].equals("cancel")) {
                calledOff.add(w[3]);
            }
        });
        for (boolean more = true; more; ) {
            more = awaits.entrySet().stream()
                    .anyMatch(e -> e.getValue().stream().anyMatch(calledOff::contains) && calledOff.add(e.getKey()));
        }
        out.removeIf(l -> l.startsWith("expect done ") && calledOff.contains(l.substring("expect done ".length())));
    }
}
