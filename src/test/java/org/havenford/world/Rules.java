package org.havenford.world;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.havenford.protocol.Settings;

/** The rules of the protocol, checked after every event against what is really on the machines. */
final class Rules {
    private final World world;
    final List<String> broken = new ArrayList<>();
    int starts;

    Rules(World world) {
        this.world = world;
    }

    void broken(String rule, String what) {
        String line = String.format("%.3f %s: %s", world.seconds(), rule, what);
        if (broken.size() < 20) {
            broken.add(line);
        }
        world.note("BROKEN " + rule + " " + what);
    }

    private static boolean on(Worker w, Worker.Task t) {
        return t.on() && !(w.hung && w.leaseOver());
    }

    private static String jobOf(String shot) {
        return shot.substring(0, shot.indexOf('/'));
    }

    void started(Worker on, Worker.Task t) {
        starts++;
        world.note(t.shot + " take " + t.take + " starts on " + on.name);
        Users.Job j = world.users.jobs.get(jobOf(t.shot));
        if (on.spot && !j.spot || j.zone != null && !j.zone.equals(on.zone)) {
            broken("wrong_place", t.shot + " on " + on.name);
        }
        int same = 0;
        for (Worker w : world.workers.values()) {
            for (Worker.Task o : w.tasks.values()) {
                if (o != t && on(w, o) && o.shot.equals(t.shot)) {
                    broken("ran_twice", t.shot + " on " + w.name + " and " + on.name);
                }
                if (j.together && on(w, o) && !w.zone.equals(on.zone) && jobOf(o.shot).equals(j.id)) {
                    broken("wrong_place", t.shot + " in zone " + on.zone + ", " + o.shot + " in zone " + w.zone);
                }
                if (on(w, o) && w.zone.equals(on.zone) && jobOf(o.shot).equals(j.id)) {
                    same++;
                }
            }
        }
        if (j.apart && same > (j.tasks + 1) / 2) {
            broken("wrong_place", j.id + " has " + same + " tasks in zone " + on.zone);
        }
        if (j.cancelTold != null && Duration.between(j.cancelTold, world.now).compareTo(world.template.cancel()) > 0) {
            broken("ran_cancelled", t.shot + " starts");
        }
    }

    void check() {
        Map<String, Double> used = new HashMap<>();
        for (Worker w : world.workers.values()) {
            for (Worker.Task t : w.tasks.values()) {
                if (!on(w, t)) {
                    continue;
                }
                Users.Job j = world.users.jobs.get(jobOf(t.shot));
                used.merge(j.team, j.cpus, Double::sum);
                if (j.cancelTold != null && Duration.between(j.cancelTold, world.now).compareTo(world.template.cancel()) > 0) {
                    broken("ran_cancelled", t.shot + " is still on " + w.name);
                }
            }
        }
        used.forEach((team, cpus) -> {
            Settings.Team limit = world.template.teams().get(team);
            if (limit.cpusMax() > 0 && cpus > limit.cpusMax() + 1e-6) {
                broken("quota", team + " uses " + cpus);
            }
        });
    }
}
