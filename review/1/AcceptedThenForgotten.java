import java.util.ArrayList;
import java.util.List;

/** Users submit jobs while the state service is down; the body of each request arrives just after its header. */
public class AcceptedThenForgotten {
    /** Time between the packets with the header and the body of a submission. */
    private static final int APART_MS = 20;
    /** The longest outage of the state service in the standard days of the site. */
    private static final double OUTAGE_S = 8;

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Site site = new Site(arguments, new Config());
        site.start(4);
        site.awaitHealthy(30);
        site.users.bodyApartMs = APART_MS;
        site.world.say("all controllers serve");

        List<Users.Job> jobs = new ArrayList<>();
        double begin = site.world.now();
        boolean out = false;
        for (int i = 0; i < 40; i++) {
            double since = site.world.now() - begin;
            if (trouble && !out && since >= 4) {
                out = true;
                site.state.setOutage(true);
                site.world.say("the state service is down");
                site.world.after(OUTAGE_S, () -> {
                    site.state.setOutage(false);
                    site.world.say("the state service is up again");
                });
            }
            jobs.add(site.users.submit("j-" + (1000 + i), "replaydesk", 2, 4, 12, 1, 0.5));
            World.sleep(0.5);
        }
        // Users go on asking every 5 s. All troubles are over, and these short jobs have time enough to run.
        site.await(40, () -> jobs.stream().allMatch(job -> job.doneAt >= 0));
        int accepted = 0;
        int lost = 0;
        for (Users.Job job : jobs) {
            accepted += job.acceptedAt >= 0 ? 1 : 0;
            boolean neverRan = job.acceptedAt >= 0 && job.completed.isEmpty();
            lost += neverRan ? 1 : 0;
            if (neverRan) {
                site.world.say("%s was accepted at %.3f and none of its tasks ever ran", job.id, job.acceptedAt);
            }
        }
        site.world.say("%d jobs accepted, %d of them never ran", accepted, lost);
        site.finish("forgotten");
    }
}
