import com.google.gson.JsonObject;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

/** Users behind a load balancer: they submit, poll and cancel as the protocol says, and check what they are told. */
final class Users {
    static final class Job {
        final String id;
        final String team;
        final int tasks;
        final double cpus;
        final double memGb;
        final double runSeconds;
        final String image;
        final double imageGb;
        final JsonObject body;
        final Set<String> completed = new HashSet<>();
        double firstSent = -1;
        double acceptedAt = -1;
        double doneAt = -1;
        double abortedAt = -1;
        double lastAnswerAt = -1;
        boolean abortAsked;
        String status = "";

        Job(String id, String team, int tasks, double cpus, double memGb, double runSeconds, String image,
                double imageGb, JsonObject body) {
            this.id = id;
            this.team = team;
            this.tasks = tasks;
            this.cpus = cpus;
            this.memGb = memGb;
            this.runSeconds = runSeconds;
            this.image = image;
            this.imageGb = imageGb;
            this.body = body;
        }
    }

    private static final class Health {
        boolean healthy;
        boolean everHealthy;
        int goodInARow;
        int badInARow;
        double notBefore;
        int open;
    }

    private final World world;
    private final Web web;
    private final Rules rules;
    private final Map<String, String> binds;
    private final Map<String, Health> health = new LinkedHashMap<>();
    private final Random random = new Random(5);
    final Map<String, Job> jobs = new HashMap<>();
    double pollS = 5;
    /** If more than 0, the body of a submission arrives this many milliseconds after its header. */
    int bodyApartMs;

    Users(World world, Web web, Rules rules, Map<String, String> binds) {
        this.world = world;
        this.web = web;
        this.rules = rules;
        this.binds = binds;
        binds.keySet().forEach(node -> health.put(node, new Health()));
        binds.keySet().forEach(node -> world.every(1, () -> probe(node)));
    }

    private void probe(String node) {
        web.call(binds.get(node), "GET", "/healthz", null, 1).thenAccept(reply -> {
            synchronized (world) {
                Health h = health.get(node);
                boolean good = reply.status() == 200;
                h.goodInARow = good ? h.goodInARow + 1 : 0;
                h.badInARow = good ? 0 : h.badInARow + 1;
                boolean before = h.healthy;
                if (h.healthy && h.badInARow >= 2) {
                    h.healthy = false;
                    h.notBefore = world.now() + 3;
                } else if (!h.healthy && world.now() >= h.notBefore && h.goodInARow >= (h.everHealthy ? 2 : 1)) {
                    h.healthy = true;
                    h.everHealthy = true;
                }
                if (before != h.healthy) {
                    world.record("load balancer: %s is %s", node, h.healthy ? "healthy" : "unhealthy");
                }
            }
        });
    }

    boolean isHealthy(String node) {
        synchronized (world) {
            return health.get(node).healthy;
        }
    }

    int healthyNodes() {
        synchronized (world) {
            return (int) health.values().stream().filter(h -> h.healthy).count();
        }
    }

    /** Chooses a healthy node with the fewest open requests, as the load balancer does for new connections. */
    private String choose() {
        List<String> good = new ArrayList<>();
        int fewest = Integer.MAX_VALUE;
        for (Map.Entry<String, Health> entry : health.entrySet()) {
            int open = entry.getValue().open;
            if (entry.getValue().healthy && open <= fewest) {
                if (open < fewest) {
                    good.clear();
                }
                fewest = open;
                good.add(entry.getKey());
            }
        }
        return good.isEmpty() ? null : good.get(random.nextInt(good.size()));
    }

    private CompletableFuture<Web.Reply> request(String node, String method, String path, String body, double timeout) {
        health.get(node).open++;
        CompletableFuture<Web.Reply> call = body != null && bodyApartMs > 0
                ? web.callInTwoPackets(binds.get(node), method, path, body, timeout, bodyApartMs)
                : web.call(binds.get(node), method, path, body, timeout);
        return call.thenApply(reply -> {
            synchronized (world) {
                health.get(node).open--;
            }
            return reply;
        });
    }

    Job jobOf(String task) {
        return jobs.get(task.substring(0, task.indexOf('/')));
    }

    /** Submits a job of tasks that start anywhere, and polls it until it is over. */
    Job submit(String id, String team, int tasks, double cpus, double memGb, double runSeconds, double imageGb) {
        JsonObject json = new JsonObject();
        json.addProperty("nameId", id);
        json.addProperty("lineup", "slowmo");
        json.addProperty("crew", team);
        json.addProperty("shape", "batch");
        json.addProperty("urgency", "urgent");
        json.addProperty("shots", tasks);
        json.addProperty("vcpus", cpus);
        json.addProperty("cards", 0.0);
        json.addProperty("memGb", memGb);
        json.addProperty("reel", "img-07");
        json.addProperty("imageGb", imageGb);
        json.addProperty("together", false);
        json.addProperty("apart", false);
        json.addProperty("borrowed", true);
        json.addProperty("guessS", runSeconds);
        json.addProperty("keyframeS", 0.0);
        json.addProperty("flushS", 0.0);
        synchronized (world) {
            Job job = new Job(id, team, tasks, cpus, memGb, runSeconds, "img-07", imageGb, json);
            jobs.put(id, job);
            job.firstSent = world.now();
            attempt(job);
            return job;
        }
    }

    private void attempt(Job job) {
        if (world.now() > job.firstSent + 60) {
            world.record("USER %s: gave up submitting", job.id);
            return;
        }
        String node = choose();
        if (node == null) {
            world.after(1, () -> attempt(job));
            return;
        }
        request(node, "POST", "/submissions", job.body.toString(), 5).thenAccept(reply -> {
            synchronized (world) {
                world.record("USER submits %s to %s: %d %s", job.id, node, reply.status(), reply.body());
                if (reply.status() == 201 || reply.status() == 200) {
                    if (job.acceptedAt < 0) {
                        job.acceptedAt = world.now();
                        job.lastAnswerAt = world.now();
                        if (reply.body().isEmpty()) {
                            world.record("USER %s: accepted with %d, the answer has no body", job.id, reply.status());
                        } else {
                            told(job, reply.json().get("status").getAsString());
                        }
                        world.after(pollS, () -> poll(job));
                    }
                } else if (reply.status() != 400 && reply.status() != 422) {
                    world.after(Math.max(1, Math.min(30, reply.retryAfter())), () -> attempt(job));
                } else if (job.acceptedAt >= 0) {
                    rules.report("forgotten: a repeated submission of %s was answered %d", job.id, reply.status());
                }
            }
        });
    }

    private void poll(Job job) {
        String node = choose();
        if (job.doneAt >= 0 || job.abortedAt >= 0) {
            return;
        }
        world.after(pollS * (0.9 + random.nextDouble() * 0.2), () -> poll(job));
        if (node == null) {
            return;
        }
        request(node, "GET", "/submissions/" + job.id, null, 2).thenAccept(reply -> {
            synchronized (world) {
                world.record("USER polls %s at %s: %d %s", job.id, node, reply.status(), reply.body());
                if (reply.status() == 200) {
                    job.lastAnswerAt = world.now();
                    told(job, reply.json().get("status").getAsString());
                } else if (reply.status() == 404) {
                    rules.reportOnce("404 " + job.id, "forgotten: %s was accepted and %s answers 404", job.id, node);
                }
            }
        });
    }

    private void told(Job job, String status) {
        if (!status.equals(job.status)) {
            world.record("USER %s: told %s", job.id, status);
        }
        if (status.equals("done") && job.doneAt < 0) {
            job.doneAt = world.now();
            if (job.completed.size() < job.tasks) {
                rules.report("not_done: %s is called done, %d of %d tasks are", job.id, job.completed.size(), job.tasks);
            }
        }
        if (status.equals("withdrawn") && !job.abortAsked) {
            rules.report("went_back: %s is called withdrawn, nobody cancelled it", job.id);
        }
        if ((job.doneAt >= 0 && !status.equals("done")) || (job.abortedAt >= 0 && !status.equals("withdrawn"))) {
            rules.report("went_back: %s was called %s and is called %s", job.id, job.status, status);
        }
        job.status = status;
    }

    /** Cancels a job; the request is repeated until it is answered. */
    void abort(Job job) {
        synchronized (world) {
            job.abortAsked = true;
            abortOnce(job);
        }
    }

    private void abortOnce(Job job) {
        String node = choose();
        if (node == null) {
            world.after(1, () -> abortOnce(job));
            return;
        }
        request(node, "POST", "/submissions/" + job.id + "/abort", null, 5).thenAccept(reply -> {
            synchronized (world) {
                world.record("USER aborts %s at %s: %d %s", job.id, node, reply.status(), reply.body());
                if (reply.status() != 200) {
                    world.after(1, () -> abortOnce(job));
                    return;
                }
                String status = reply.json().get("status").getAsString();
                told(job, status);
                if (status.equals("withdrawn")) {
                    job.abortedAt = world.now();
                    world.after(rulesCancelS(), () -> {
                        if (rules.placesOf(job.id) > 0) {
                            rules.report("ran_cancelled: a task of %s is on a machine after cancel_s", job.id);
                        }
                    });
                }
            }
        });
    }

    double cancelS = 46;

    private double rulesCancelS() {
        return cancelS;
    }

    CompletableFuture<Web.Reply> ask(String node, String id) {
        return web.call(binds.get(node), "GET", "/submissions/" + id, null, 2);
    }
}
