import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/** The rules of the protocol that a case checks, judged by what users, workers and the platform see. */
final class Rules {
    private final World world;
    private final Config config;
    /** Workers on which a task is, by task; a task is there from the moment it has its image. */
    private final Map<String, List<Worker>> places = new HashMap<>();
    private final Map<String, Double> cpusByTeam = new TreeMap<>();
    private final Map<String, Double> limits = new HashMap<>();
    final List<String> broken = new ArrayList<>();
    private final Set<String> reported = new HashSet<>();
    final Map<String, Integer> startsByTask = new HashMap<>();
    int starts;

    Rules(World world, Config config) {
        this.world = world;
        this.config = config;
        config.teams.forEach(team -> limits.put(team.name(), team.cpusMax()));
    }

    /** Sets the limit of a team from which on starts are checked; 0 stops the check. */
    void setLimit(String team, double cpusMax) {
        limits.put(team, cpusMax);
    }

    double cpusOf(String team) {
        return cpusByTeam.getOrDefault(team, 0.0);
    }

    void started(Worker worker, Users.Job job, String task, long take) {
        starts++;
        startsByTask.merge(task, 1, Integer::sum);
        List<Worker> on = places.computeIfAbsent(task, key -> new ArrayList<>());
        double cpus = cpusByTeam.merge(job.team, job.cpus, Double::sum);
        world.record("START %s take %d on %s in %s (team %s now has %.1f CPUs)", task, take, worker.name, worker.zone,
                job.team, cpus);
        for (Worker other : on) {
            if (other != worker) {
                report("ran_twice: %s starts on %s while it is on %s", task, worker.name, other.name);
            }
        }
        on.add(worker);
        double limit = limits.getOrDefault(job.team, 0.0);
        if (limit > 0 && cpus > limit + 1e-6) {
            report("quota: %s starts and team %s uses %.1f CPUs of %.1f", task, job.team, cpus, limit);
        }
        if (job.abortedAt >= 0 && world.now() > job.abortedAt + config.cancelS) {
            report("ran_cancelled: %s starts %.1f s after its user was told", task, world.now() - job.abortedAt);
        }
    }

    void ended(Worker worker, Users.Job job, String task, long take, String why) {
        List<Worker> on = places.get(task);
        if (on != null && on.remove(worker)) {
            cpusByTeam.merge(job.team, -job.cpus, Double::sum);
        }
        world.record("END %s take %d on %s: %s (team %s now has %.1f CPUs)", task, take, worker.name, why, job.team,
                cpusOf(job.team));
    }

    /** Returns whether a task is on any machine. */
    boolean isAnywhere(String task) {
        return places.containsKey(task) && !places.get(task).isEmpty();
    }

    int placesOf(String job) {
        int count = 0;
        for (Map.Entry<String, List<Worker>> entry : places.entrySet()) {
            if (entry.getKey().startsWith(job + "/")) {
                count += entry.getValue().size();
            }
        }
        return count;
    }

    /** Reports a broken rule once for a subject, such as a job. */
    void reportOnce(String subject, String format, Object... arguments) {
        if (reported.add(subject)) {
            report(format, arguments);
        } else {
            world.record("again: " + format, arguments);
        }
    }

    void report(String format, Object... arguments) {
        String text = String.format(java.util.Locale.ROOT, format, arguments);
        broken.add(text);
        world.say("BROKEN %s", text);
    }
}
