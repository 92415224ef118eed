package org.havenford.simulator;

import com.google.gson.JsonElement;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.havenford.settings.PlatformSettings;

/** The rules of the protocol, checked after every event against what is really on the machines. */
final class InvariantChecker {
    private static final Duration WAITS_AT_MOST = Duration.ofSeconds(90);
    private static final Duration KNOWN_WITHIN = Duration.ofSeconds(75);
    private static final Duration LARGE_BEGIN_WITHIN = Duration.ofMinutes(4);
    /** Jobs of at least this part of the largest's tasks count as the largest. */
    private static final double LARGE = 0.8;

    private final ClusterSimulator world;
    final List<String> broken = new ArrayList<>();
    int starts;
    /** Starts after their job's cancellation was confirmed: counted by users, broken only after the time allowed. */
    int startsAfterCancel;

    private final Map<String, Integer> startsOf = new HashMap<>();
    private final Map<String, Instant> lastStartOf = new HashMap<>();
    private final Map<String, Instant> waiting = new HashMap<>();
    private final List<SimulatedAgent> reportedToCrashed = new ArrayList<>();
    private boolean touched = true;
    private Instant waitsChecked = Instant.MIN;
    private Instant checked = Instant.MIN;
    /** When the last trouble of the day is over; from then on users expect answers. */
    Instant troublesOver = Instant.EPOCH;
    /** Days played from a trace know when their troubles are over. */
    boolean checkWaits;

    InvariantChecker(ClusterSimulator world) {
        this.world = world;
    }

    void broken(String rule, String what) {
        String line = String.format("%.3f %s: %s", world.seconds(), rule, what);
        if (broken.size() < 20) {
            broken.add(line);
        }
        world.note("BROKEN " + rule + " " + what);
    }

    private static boolean on(SimulatedAgent w, SimulatedAgent.Task t) {
        return t.on() && !(w.hung && w.leaseOver());
    }

    private static String jobOf(String shot) {
        return shot.substring(0, shot.indexOf('/'));
    }

    /** How many times tasks of a job have started. */
    int starts(String job) {
        return startsOf.getOrDefault(job, 0);
    }

    /** A controller has ended: these workers reported to it. */
    void crashed(String node) {
        reportedToCrashed.clear();
        world.workers.values().stream().filter(w -> w.reportsTo(node)).forEach(reportedToCrashed::add);
    }

    /** The workers of the controller that ended last have seen a token of the view in force: their new owners have turned to them. */
    void tokensRenewed() {
        long epoch =
                world.store.value("live/view").getAsJsonObject().get("epoch").getAsLong();
        if (reportedToCrashed.isEmpty()) {
            broken("not taken over", "no worker reported to the controller that ended");
        }
        for (SimulatedAgent w : reportedToCrashed) {
            if (w.up() && !w.hung && w.token >> 32 < epoch) {
                broken("not taken over", w.name + " has seen no token of epoch " + epoch);
            }
        }
    }

    void touched() {
        touched = true;
    }

    void started(SimulatedAgent on, SimulatedAgent.Task t) {
        starts++;
        startsOf.merge(jobOf(t.shot), 1, Integer::sum);
        lastStartOf.put(jobOf(t.shot), world.now);
        touched = true;
        world.note(t.shot + " take " + t.take + " starts on " + on.name);
        SimulatedUsers.Job job = world.users.jobs.get(jobOf(t.shot));
        if (job.begun == null) {
            job.begun = world.now;
        }
        checkOnce(on, t);
        checkPlace(on, t, job);
        for (String a : job.awaits) {
            JsonElement end = world.store.value("final/" + a);
            if (end == null
                    || !end.getAsJsonObject().get("status").getAsString().equals("done")) {
                broken("too_early", t.shot + " starts before " + a + " is done");
            }
        }
        if (job.cancelTold != null) {
            startsAfterCancel++;
            world.note(t.shot + " starts after its job was cancelled");
        }
        if (job.cancelTold != null
                && Duration.between(job.cancelTold, world.now).compareTo(world.template.cancellationLimit()) > 0) {
            broken("ran_cancelled", t.shot + " starts");
        }
    }

    private void checkOnce(SimulatedAgent on, SimulatedAgent.Task t) {
        for (SimulatedAgent w : world.workers.values()) {
            for (SimulatedAgent.Task o : w.tasks.values()) {
                if (o != t && on(w, o) && o.shot.equals(t.shot)) {
                    broken("ran_twice", t.shot + " on " + w.name + " and " + on.name);
                }
            }
        }
    }

    /** All five constraints of a job, given its other tasks that are on machines at this moment. */
    private void checkPlace(SimulatedAgent on, SimulatedAgent.Task t, SimulatedUsers.Job job) {
        if (!job.types.isEmpty() && !job.types.contains(on.type)) {
            wrongPlace("type", t.shot + " on " + on.name + ", which is " + on.type + ", not of " + job.types);
        }
        if (job.zone != null && !job.zone.equals(on.zone)) {
            wrongPlace("zone", t.shot + " in zone " + on.zone + ", not " + job.zone);
        }
        if (on.spot && !job.spot) {
            wrongPlace("kind", t.shot + " on " + on.name + ", a spot machine");
        }
        Map<String, Integer> byZone = tasksByZone(job);
        if (job.together && byZone.size() > 1) {
            wrongPlace("together", t.shot + " on " + on.name + ", tasks by zone " + byZone);
        }
        if (job.apart && byZone.getOrDefault(on.zone, 0) > mostInOneZone(job)) {
            wrongPlace("apart", t.shot + " on " + on.name + ", of " + job.tasks + " tasks by zone " + byZone);
        }
    }

    private void wrongPlace(String constraint, String what) {
        broken("wrong_place", constraint + ": " + what);
    }

    private static int mostInOneZone(SimulatedUsers.Job job) {
        return (job.tasks + 1) / 2;
    }

    /** How many tasks of a job are on machines of each zone. */
    private Map<String, Integer> tasksByZone(SimulatedUsers.Job job) {
        Map<String, Integer> byZone = new TreeMap<>();
        for (SimulatedAgent w : world.workers.values()) {
            for (SimulatedAgent.Task o : w.tasks.values()) {
                if (on(w, o) && jobOf(o.shot).equals(job.id)) {
                    byZone.merge(w.zone, 1, Integer::sum);
                }
            }
        }
        return byZone;
    }

    /** Once all troubles are over no job may wait this long while a machine that fits has room and its team is under its limit. */
    private void checkWaiting(Map<String, Double> used) {
        if (world.now.isBefore(troublesOver)) {
            waiting.clear();
            return;
        }
        for (SimulatedUsers.Job job : world.users.jobs.values()) {
            boolean open = job.accepted
                    && job.doneTold == null
                    && !world.users.mayBeWithdrawn(job)
                    && job.awaits.stream().allMatch(a -> world.store.value("final/" + a) != null);
            // Of a job that fails on every machine no task is ever done: it must be tried often enough.
            Instant tried = lastStartOf.getOrDefault(job.id, Instant.MIN);
            boolean triedLately = job.broken && tried.plus(WAITS_AT_MOST).isAfter(world.now);
            boolean pending = open && unstarted(job) && !triedLately;
            PlatformSettings.Team team = world.template.teams().get(job.team);
            boolean allowed =
                    team.cpusMax() <= 0 || used.getOrDefault(job.team, 0.0) + job.cpus <= team.cpusMax() + 1e-6;
            Map<String, Integer> byZone = pending && allowed ? tasksByZone(job) : Map.of();
            if (!pending
                    || !allowed
                    || world.workers.values().stream().noneMatch(w -> hasRoom(w, job) && mayJoin(w, job, byZone))) {
                waiting.remove(job.id);
            } else if (Duration.between(waiting.computeIfAbsent(job.id, k -> world.now), world.now)
                            .compareTo(WAITS_AT_MOST)
                    > 0) {
                broken("waited", job.id + " has waited beside fitting room");
                waiting.remove(job.id);
            }
        }
    }

    private boolean unstarted(SimulatedUsers.Job job) {
        for (int i = 0; i < job.tasks; i++) {
            String shot = job.id + "/" + i;
            if (!world.users.finished.contains(shot)
                    && world.workers.values().stream()
                            .noneMatch(w -> w.tasks.values().stream().anyMatch(t -> t.shot.equals(shot)))) {
                return true;
            }
        }
        return false;
    }

    /** Whether one more task may start in the machine's zone beside those that are on machines now. */
    private static boolean mayJoin(SimulatedAgent w, SimulatedUsers.Job job, Map<String, Integer> byZone) {
        return (!job.together || byZone.isEmpty() || byZone.containsKey(w.zone))
                && (!job.apart || byZone.getOrDefault(w.zone, 0) < mostInOneZone(job));
    }

    private boolean hasRoom(SimulatedAgent w, SimulatedUsers.Job job) {
        double taken = w.tasks.values().stream()
                .filter(t -> !t.status.equals("exited"))
                .mapToDouble(t -> world.users.jobs.get(jobOf(t.shot)).cpus)
                .sum();
        return w.up()
                && !w.hung
                && !w.faulty
                && w.notice == null
                && (job.spot || !w.spot)
                && (job.types.isEmpty() || job.types.contains(w.type))
                && (job.zone == null || job.zone.equals(w.zone))
                && taken + job.cpus <= SimulatedCloud.TYPES.get(w.type)[0] + 1e-6;
    }

    void check() {
        if (!touched && world.now.isBefore(checked.plusMillis(500))) {
            return;
        }
        touched = false;
        checked = world.now;
        Map<String, Double> used = new HashMap<>();
        for (SimulatedAgent w : world.workers.values()) {
            for (SimulatedAgent.Task t : w.tasks.values()) {
                if (!on(w, t)) {
                    continue;
                }
                SimulatedUsers.Job job = world.users.jobs.get(jobOf(t.shot));
                used.merge(job.team, job.cpus, Double::sum);
                if (job.cancelTold != null
                        && Duration.between(job.cancelTold, world.now).compareTo(world.template.cancellationLimit())
                                > 0) {
                    broken("ran_cancelled", t.shot + " is still on " + w.name);
                }
            }
        }
        if (checkWaits && !world.now.isBefore(waitsChecked.plusSeconds(5))) {
            waitsChecked = world.now;
            checkWaiting(used);
        }
        used.forEach((team, cpus) -> {
            PlatformSettings.Team limit = world.template.teams().get(team);
            if (limit.cpusMax() > 0 && cpus > limit.cpusMax() + 1e-6) {
                broken("quota", team + " uses " + cpus);
            }
        });
    }

    /** A question about a job had no answer: after the troubles none may stay without one for longer than this. */
    void unanswered(SimulatedUsers.Job job) {
        Instant since = job.answered.isAfter(troublesOver) ? job.answered : troublesOver;
        if (Duration.between(since, world.now).compareTo(KNOWN_WITHIN) > 0) {
            broken(
                    "forgotten",
                    job.id + " has had no answer since "
                            + Duration.between(Instant.EPOCH, since).toMillis() / 1e3);
        }
    }

    /** What users look at when the day is over: no class, no team and no class's largest jobs may starve. */
    void endOfDay() {
        Map<String, List<SimulatedUsers.Job>> groups = new TreeMap<>();
        Map<String, Integer> largest = new HashMap<>();
        for (SimulatedUsers.Job job : world.users.jobs.values()) {
            largest.merge(job.lineup, job.tasks, Math::max);
        }
        for (SimulatedUsers.Job job : world.users.jobs.values()) {
            if (!job.accepted || job.broken || job.cancelTold != null || job.takenAlong != null) {
                continue;
            }
            groups.computeIfAbsent("class " + job.lineup, k -> new ArrayList<>())
                    .add(job);
            groups.computeIfAbsent("team " + job.team, k -> new ArrayList<>()).add(job);
            if (job.tasks >= largest.get(job.lineup) * LARGE) {
                groups.computeIfAbsent("largest of class " + job.lineup, k -> new ArrayList<>())
                        .add(job);
                Instant by = job.submitted.plus(LARGE_BEGIN_WITHIN);
                if (job.awaits.isEmpty() && by.isBefore(world.now) && (job.begun == null || job.begun.isAfter(by))) {
                    broken("unserved", job.id + ", of the largest of its class, has not begun in time");
                }
            }
        }
        groups.forEach((group, jobs) -> {
            long served = jobs.stream().filter(job -> job.doneTold != null).count();
            if (served * 2 < jobs.size()) {
                broken("unserved", group + ": " + served + " of " + jobs.size());
            }
        });
    }
}
