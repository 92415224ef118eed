package org.havenford.coordination;

import it.unimi.dsi.fastutil.objects.Object2DoubleOpenHashMap;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.havenford.bookkeeping.Job;
import org.havenford.bookkeeping.Ledger;
import org.havenford.protocol.JobSpec;
import org.havenford.protocol.MachineType;
import org.havenford.protocol.Settings;

/** How many machines of each type the unfinished work would fill, were all of it to run at once. */
public final class Demand {
    private Demand() {
    }

    /** Tasks of a job that fit on one machine. */
    static int slots(JobSpec s, MachineType t) {
        double n = t.cpus() / s.cpus();
        if (s.cards() > 0) {
            n = Math.min(n, t.cards() / s.cards());
        }
        if (s.memGb() > 0) {
            n = Math.min(n, t.memGb() / s.memGb());
        }
        return (int) Math.floor(n + 1e-9);
    }

    /** Allowed types, the cheapest per task first. */
    static List<MachineType> preferred(JobSpec s, Iterable<MachineType> types) {
        List<MachineType> out = new ArrayList<>();
        for (MachineType t : types) {
            if (t.zones().stream().anyMatch(z -> s.allows(t, z, false))) {
                out.add(t);
            }
        }
        out.sort(Comparator.comparingDouble((MachineType t) -> costPerStart(s, t)).thenComparing(MachineType::name));
        return out;
    }

    /** Price of one task: its share of the machine while it fetches and runs. */
    private static double costPerStart(JobSpec s, MachineType t) {
        double seconds = s.guess().toMillis() / 1e3 + s.imageGb() / Math.max(0.01, t.fetchGbPerS());
        return t.hourly(s.spot()) / slots(s, t) * seconds;
    }

    public static Object2DoubleOpenHashMap<String> machines(Ledger ledger, Settings settings, Predicate<MachineType> exhausted,
            Map<String, Integer> have) {
        Object2DoubleOpenHashMap<String> out = new Object2DoubleOpenHashMap<>();
        Map<String, Double> usedCpus = new HashMap<>();
        for (Job j : ledger.jobs()) {
            if (j.cancelled()) {
                continue;
            }
            JobSpec s = j.spec();
            Settings.Team team = settings.teams().get(s.team());
            double tasks = s.tasks() - j.doneCount();
            if (j.errors() >= 3) {
                tasks = Math.min(tasks, 1);
            }
            if (team != null && team.cpusMax() > 0) {
                double used = usedCpus.getOrDefault(s.team(), 0.0);
                tasks = Math.min(tasks, Math.max(0, Math.floor((team.cpusMax() - used) / s.cpus() + 1e-9)));
                usedCpus.put(s.team(), used + tasks * s.cpus());
            }
            for (MachineType t : preferred(s, ledger.types().values())) {
                if (tasks <= 0) {
                    break;
                }
                int slots = slots(s, t);
                double need = tasks / slots;
                if (exhausted.test(t)) {
                    // What this type can't give goes to the next one.
                    double room = Math.max(0, have.getOrDefault(t.name(), 0) - out.getDouble(t.name()));
                    need = Math.min(need, room);
                }
                out.addTo(t.name(), need);
                tasks -= need * slots;
            }
        }
        return out;
    }
}
