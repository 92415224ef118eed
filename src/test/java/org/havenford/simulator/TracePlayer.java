package org.havenford.simulator;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.havenford.protocol.MalformedMessageException;
import org.havenford.settings.PlatformSettings;

/** A kept trace: one line an event, played in a {@link ClusterSimulator}. See src/test/resources/traces/README.md. */
final class TracePlayer {
    private static final String ZONES = "abc";
    private static final String WORKERS = "{\"report_s\":3,\"lease_s\":20,\"cancel_s\":44}";
    private static final String STATE = "{\"rps\":300,\"write_rps\":150,\"value_kb\":8,\"txn_ops\":12}";

    private TracePlayer() {}

    static PlatformSettings settings(int node, String teams) {
        return settings(node, 3, teams, WORKERS, STATE);
    }

    static PlatformSettings settings(int node, int nodes, String teams, String workers, String state) {
        StringBuilder others = new StringBuilder();
        for (int i = 0; i < nodes; i++) {
            if (i != node) {
                others.append(others.isEmpty() ? "" : ",")
                        .append("{\"node_name\":\"node-")
                        .append(i)
                        .append("\",\"location\":\"")
                        .append(zone(i))
                        .append("\",\"peer_addr\":\"node-")
                        .append(i)
                        .append(":2\"}");
            }
        }
        try {
            return PlatformSettings.parse("{\"node_name\":\"node-" + node + "\",\"location\":\"" + zone(node)
                    + "\",\"bind\":\"node-"
                    + node + ":1\",\"cluster_listen\":\"node-" + node + ":2\",\"others\":[" + others
                    + "],\"endpoints\":{\"cloud\":\"cloud:1\",\"state\":\"state:1\"},\"deployment\":{\"teams\":["
                    + teams
                    + "],\"workers\":" + workers + ",\"state\":" + state + ",\"cloud\":{\"rps\":5,\"list_lag_s\":4}}}");
        } catch (MalformedMessageException e) {
            throw new IllegalStateException(e);
        }
    }

    private static char zone(int node) {
        return ZONES.charAt(node % ZONES.length());
    }

    /** Plays the trace and returns what it found wrong. */
    static List<String> play(List<String> lines, ClusterSimulator[] out) {
        long seed = 1;
        List<String> teams = new ArrayList<>();
        List<String[]> events = new ArrayList<>();
        List<String[]> expectations = new ArrayList<>();
        double until = 120;
        int nodes = 3;
        boolean old = false;
        boolean standby = false;
        Set<String> withoutStandby = new HashSet<>();
        String state = STATE;
        int keptChanges = 10_000;
        int perOffer = 0;
        for (String raw : lines) {
            String line = raw.replaceFirst("#.*", "").strip();
            if (line.isEmpty()) {
                continue;
            }
            String[] w = line.split("\\s+");
            switch (w[0]) {
                case "next" ->
                    state = STATE.replace(
                            "}",
                            ",\"next\":{\"value_kb\":" + w[1] + ",\"txn_ops\":" + w[2] + ",\"write_rps\":" + w[3]
                                    + "}}");
                case "standby" -> standby = w[1].equals("on");
                case "standby-off" -> withoutStandby.add(w[1]);
                case "version" -> old = w[1].equals("format-1");
                case "per-offer" -> perOffer = Integer.parseInt(w[1]);
                case "keep-changes" -> keptChanges = Integer.parseInt(w[1]);
                case "nodes" -> nodes = Integer.parseInt(w[1]);
                case "seed" -> seed = Long.parseLong(w[1]);
                case "team" -> teams.add("{\"name\":\"" + w[1] + "\",\"cpus\":" + w[2] + ",\"cpus_max\":" + w[3] + "}");
                case "at", "machine" -> events.add(w);
                case "until" -> until = Double.parseDouble(w[1]);
                case "expect" -> expectations.add(w);
                default -> throw new IllegalArgumentException(line);
            }
        }
        String teamText = String.join(",", teams);
        ClusterSimulator world = new ClusterSimulator(seed, settings(0, nodes, teamText, WORKERS, state));
        out[0] = world;
        world.store.watches.keptChanges = keptChanges;
        world.withStandby = standby;
        world.withoutStandby.addAll(withoutStandby);
        world.cloud.perOffer = perOffer > 0 ? perOffer : world.cloud.perOffer;
        for (int i = 0; i < nodes; i++) {
            PlatformSettings before = old ? settings(i, nodes, teamText, WORKERS, STATE) : null;
            world.addNode(settings(i, nodes, teamText, WORKERS, state), before);
        }
        for (String[] e : events) {
            if (e[0].equals("machine")) {
                world.cloud.boot(e[1], e[2], e[3].equals("spot"), Duration.ofMillis(100));
            } else {
                world.at(Double.parseDouble(e[1]), () -> event(world, e));
            }
        }
        for (String[] e : events) {
            if (e[0].equals("at")
                    && !List.of("submit", "cancel", "ask", "repeat").contains(e[2])) {
                Instant at = Instant.EPOCH.plusMillis((long) (Double.parseDouble(e[1]) * 1000));
                world.rules.troublesOver = at.isAfter(world.rules.troublesOver) ? at : world.rules.troublesOver;
            }
        }
        world.rules.checkWaits = true;
        world.runUntil(until);
        if (expectations.stream().anyMatch(e -> e[1].equals("served"))) {
            world.rules.endOfDay();
        }
        List<String> wrong = new ArrayList<>(world.rules.broken);
        for (String[] e : expectations) {
            String text = String.join(" ", List.of(e).subList(2, e.length));
            boolean holds =
                    switch (e[1]) {
                        case "served" -> true;
                        case "done" -> world.users.jobs.get(e[2]).doneTold != null;
                        case "cancelled" -> world.users.jobs.get(e[2]).cancelTold != null;
                        case "taken-along" -> world.users.jobs.get(e[2]).takenAlong != null;
                        case "log" -> world.log.stream().anyMatch(l -> l.contains(text));
                        case "no-log" -> world.log.stream().noneMatch(l -> l.contains(text));
                        case "no-key" -> world.store.values.keySet().stream().noneMatch(k -> k.startsWith(text));
                        case "done-by" ->
                            world.users.jobs.get(e[2]).doneTold != null
                                    && !world.users
                                            .jobs
                                            .get(e[2])
                                            .doneTold
                                            .isAfter(Instant.EPOCH.plusSeconds(Long.parseLong(e[3])));
                        case "epochs" ->
                            world.store
                                            .value("live/view")
                                            .getAsJsonObject()
                                            .get("epoch")
                                            .getAsInt()
                                    <= Integer.parseInt(e[2]);
                        case "kept" ->
                            !world.cloud
                                    .returned
                                    .getOrDefault(e[2], Instant.MAX)
                                    .isBefore(Instant.EPOCH.plusSeconds(Long.parseLong(e[3])));
                        case "first-rented" ->
                            !world.cloud
                                    .firstRented
                                    .getOrDefault(e[2], Instant.MAX)
                                    .isBefore(Instant.EPOCH.plusSeconds(Long.parseLong(e[3])));
                        case "read-again" -> world.store.watches.tooOld >= Integer.parseInt(e[2]);
                        case "too-large" -> world.store.tooLarge <= Integer.parseInt(e[2]);
                        case "resting" ->
                            world.store
                                            .value("live/view")
                                            .getAsJsonObject()
                                            .getAsJsonArray("resting")
                                            .size()
                                    == Integer.parseInt(e[2]);
                        case "rented-at-most" -> world.cloud.rented <= Integer.parseInt(e[2]);
                        case "starts-at-most" -> world.rules.starts(e[2]) <= Integer.parseInt(e[3]);
                        case "calls-at-most" -> world.store.requests <= Integer.parseInt(e[2]);
                        case "evictions" -> world.store.evictions == Integer.parseInt(e[2]);
                        case "evictions-at-least" -> world.store.evictions >= Integer.parseInt(e[2]);
                        case "gone" -> world.cloud.gone.contains(e[2]);
                        case "late-starts" -> world.rules.startsAfterCancel <= Integer.parseInt(e[2]);
                        case "starts" -> world.rules.starts == Integer.parseInt(e[2]);
                        case "broken" -> world.rules.broken.stream().anyMatch(b -> b.contains(" " + e[2] + ": "));
                        default -> throw new IllegalArgumentException(String.join(" ", e));
                    };
            if (!holds) {
                wrong.add("expected: " + String.join(" ", List.of(e).subList(1, e.length)) + counted(world, e));
            }
        }
        return wrong;
    }

    private static String counted(ClusterSimulator world, String[] expectation) {
        return switch (expectation[1]) {
            case "rented-at-most" -> ", rented " + world.cloud.rented;
            case "evictions", "evictions-at-least" -> ", evictions " + world.store.evictions;
            case "calls-at-most" -> ", calls " + world.store.requests;
            case "starts-at-most" -> ", starts " + world.rules.starts(expectation[2]);
            default -> "";
        };
    }

    private static String end(ClusterSimulator w, String name) {
        if (w.nodes.containsKey(name)) {
            return w.nodes.get(name).settings.bind();
        }
        return name.startsWith("host-") ? name + ":9000" : name.equals("users") ? name : name + ":1";
    }

    static void event(ClusterSimulator w, String[] e) {
        String a = e.length > 3 ? e[3] : "";
        if (!e[2].equals("submit")) {
            w.note(String.join(" ", List.of(e).subList(2, e.length)));
        }
        switch (e[2]) {
            case "submit" ->
                w.users.submit(
                        a,
                        e[4],
                        Integer.parseInt(e[5]),
                        Double.parseDouble(e[6]),
                        Double.parseDouble(e[7]),
                        List.of(e).subList(8, e.length));
            case "cancel" -> w.users.cancel(a, e.length > 4 ? e[4] : null);
            case "ask" -> w.users.ask(a);
            case "repeat" -> w.users.repeat(a);
            case "crash" -> {
                w.rules.crashed(a);
                w.nodes.get(a).crash();
            }
            case "start" -> w.nodes.get(a).start();
            case "upgrade" -> w.nodes.get(a).upgrade();
            case "cut-peer" -> w.wires.oneWayCuts.add(a + ">" + e[4]);
            case "heal-peer" -> w.wires.oneWayCuts.remove(a + ">" + e[4]);
            case "tokens-renewed" -> w.rules.tokensRenewed();
            case "cut" ->
                w.cut(end(w, a), end(w, e[4]), ClusterSimulator.Cut.valueOf(e[5].toUpperCase(java.util.Locale.ROOT)));
            case "heal" -> w.heal(end(w, a), end(w, e[4]));
            case "outage" -> {
                if (a.equals("on")) {
                    w.store.outage = true;
                } else {
                    w.store.endOutage();
                }
            }
            case "dark-zone" -> w.cloud.darkZones.add(a);
            case "lit-zone" -> w.cloud.darkZones.remove(a);
            case "boots" -> w.cloud.bootTime = Duration.ofMillis((long) (Double.parseDouble(a) * 1000));
            case "boots-usually" -> w.cloud.bootTime = null;
            case "polls-as-often" -> w.users.pollsAsOften = Integer.parseInt(a);
            case "cloud-outage" -> w.cloud.outage = a.equals("on");
            case "freeze" -> w.nodes.get(a).freeze();
            case "thaw" -> w.nodes.get(a).thaw();
            case "cut-zone" -> w.cutZone(a, ClusterSimulator.Cut.valueOf(e[4].toUpperCase(java.util.Locale.ROOT)));
            case "heal-zone" -> w.healZone(a);
            case "repeats" -> w.repeats.put(end(w, a), Duration.ofMillis((long) (Double.parseDouble(e[4]) * 1000)));
            case "no-repeats" -> w.repeats.remove(end(w, a));
            case "slow-calls" -> {
                w.slowCallsLeft.put(end(w, a), Integer.parseInt(e[4]));
                w.slowCalls.put(end(w, a), Duration.ofMillis((long) (Double.parseDouble(e[5]) * 1000)));
            }
            case "refuse" -> w.refuse(end(w, a));
            case "serve" -> w.serve(end(w, a));
            case "slow-links" -> w.slowLinks = (int) (Double.parseDouble(a) * 1000);
            case "lower-limits" -> w.store.lower();
            case "lower-limits-refusing" -> {
                w.store.lower();
                w.store.refusesTooLarge = true;
            }
            case "mute" -> w.mute.add(end(w, a));
            case "speaks" -> w.mute.remove(end(w, a));
            case "deaf" -> w.deaf.add(end(w, a));
            case "hears" -> w.deaf.remove(end(w, a));
            case "copies" -> w.copies.put(end(w, a), Duration.ofMillis((long) (Double.parseDouble(e[4]) * 1000)));
            case "no-copies" -> w.copies.remove(end(w, a));
            case "unreach" ->
                w.workers.values().forEach(m -> w.cut(end(w, a), end(w, m.name), ClusterSimulator.Cut.DROP));
            case "reset-workers" ->
                w.workers.values().forEach(m -> w.cut(end(w, a), end(w, m.name), ClusterSimulator.Cut.RESET));
            case "reach" -> w.workers.values().forEach(m -> w.heal(end(w, a), end(w, m.name)));
            case "reboot" -> w.workers.get(a).reboot();
            case "hang" -> w.workers.get(a).hang(true);
            case "wake" -> w.workers.get(a).hang(false);
            case "take" -> w.cloud.take(a);
            case "forge-zone" -> w.store.forgeZone(a, e[4]);
            case "faulty" -> w.workers.get(a).faulty = true;
            case "slow-fetch" -> w.workers.get(a).slowFetch = Double.parseDouble(e[4]);
            case "notice" -> w.workers.get(a).notice = Double.parseDouble(e[4]);
            case "late-commands" ->
                w.lateCommands.put(end(w, a), Duration.ofMillis((long) (Double.parseDouble(e[4]) * 1000)));
            case "late-changes" ->
                w.lateChanges.put(end(w, a), Duration.ofMillis((long) (Double.parseDouble(e[4]) * 1000)));
            case "lost-answers" -> w.store.lostAnswers = Integer.parseInt(a);
            case "close-looks" -> w.users.closeLooks = a.equals("on");
            case "late-txns" -> {
                w.store.lateTxns = Integer.parseInt(a);
                w.store.lateTxn = Duration.ofMillis((long) (Double.parseDouble(e[4]) * 1000));
            }
            case "forge-cancelled" -> {
                w.users.cancelAsked.add(a);
                w.users.jobs.get(a).cancelTold = w.now;
            }
            case "forge-start" -> {
                // Not a trouble but a broken controller: shows that the checker sees what it should.
                SimulatedAgent.Task t = new SimulatedAgent.Task();
                t.shot = e[4];
                t.take = 99;
                t.status = "running";
                w.workers.get(a).tasks.put(e[4] + "#99", t);
                w.rules.started(w.workers.get(a), t);
            }
            default -> throw new IllegalArgumentException(e[2]);
        }
    }
}
